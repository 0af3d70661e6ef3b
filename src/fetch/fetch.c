// HTTP requests by libcurl, blocking.
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fetch/fetch.h"

/// A host that is up accepts within a round trip.
#define DIAL_TIMEOUT_MS 1000L

#define URL_BYTES 512

void
fetch_answer_free(struct fetch_answer *answer)
{
	free(answer->body);
	memset(answer, 0, sizeof(*answer));
}

static size_t
collect(char *data, size_t size, size_t count, void *arg)
{
	struct fetch_answer *a = arg;
	size_t n = size * count;
	char *grown = realloc(a->body, a->body_bytes + n + 1);

	if (grown == NULL)
		return 0;
	memcpy(grown + a->body_bytes, data, n);
	a->body = grown;
	a->body_bytes += n;
	a->body[a->body_bytes] = '\0';
	return n;
}

int
fetch(const struct fetch_request *request, struct fetch_answer *answer,
    struct error *err)
{
	CURL *easy = curl_easy_init();
	char url[URL_BYTES];
	CURLcode rc;

	memset(answer, 0, sizeof(*answer));
	if (easy == NULL)
		return error_set(
		    err, ERR_IO, "request", request->address, "no memory");
	snprintf(
	    url, sizeof(url), "http://%s%s", request->address, request->target);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, DIAL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (request->body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body_bytes);
	}
	rc = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_easy_cleanup(easy);
	if (rc == CURLE_OK && answer->body == NULL)
		answer->body = strdup("");
	if (rc == CURLE_OK && answer->body != NULL)
		return 0;
	fetch_answer_free(answer);
	return error_set(err, ERR_IO, "request", request->address, "%s",
	    curl_easy_strerror(rc));
}
