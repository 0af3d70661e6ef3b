// Blocking HTTP client on libcurl.
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fetch/fetch.h"

/// A reachable host accepts a connection within one round trip.
#define CONNECT_TIMEOUT_MS 1000L

#define URL_BYTES 512

void
fetch_response_free(struct fetch_response *response)
{
	free(response->body);
	memset(response, 0, sizeof(*response));
}

static size_t
append_body(char *data, size_t size, size_t count, void *arg)
{
	struct fetch_response *response = arg;
	size_t n = size * count;
	char *grown = realloc(response->body, response->body_bytes + n + 1);

	if (grown == NULL)
		return 0;
	memcpy(grown + response->body_bytes, data, n);
	response->body = grown;
	response->body_bytes += n;
	response->body[response->body_bytes] = '\0';
	return n;
}

int
fetch(const struct fetch_request *request, struct fetch_response *response,
    struct error *err)
{
	CURL *easy = curl_easy_init();
	char url[URL_BYTES];
	CURLcode rc;

	memset(response, 0, sizeof(*response));
	if (easy == NULL)
		return error_set(
		    err, ERR_IO, "request", request->address, "out of memory");
	snprintf(
	    url, sizeof(url), "http://%s%s", request->address, request->target);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
	if (request->body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body_bytes);
	}
	rc = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response->status);
	curl_easy_cleanup(easy);
	if (rc == CURLE_OK && response->body == NULL)
		response->body = strdup("");
	if (rc == CURLE_OK && response->body != NULL)
		return 0;
	fetch_response_free(response);
	return error_set(err, ERR_IO, "request", request->address, "%s",
	    curl_easy_strerror(rc));
}
