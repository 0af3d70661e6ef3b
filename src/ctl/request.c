// Requests to the sources over HTTP.
#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

#define REQUEST_TIMEOUT_MS 5000L
#define DIAL_TIMEOUT_MS	   1000L
#define STATUS_UNAVAILABLE 503

void
ctl_answer_free(struct ctl_answer *answer)
{
	free(answer->body);
	memset(answer, 0, sizeof(*answer));
}

static size_t
collect(char *data, size_t size, size_t count, void *arg)
{
	struct ctl_answer *a = arg;
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

static bool
ask_source(const char *source, const char *method, const char *target,
    const char *body, size_t body_bytes, struct ctl_answer *a)
{
	CURL *easy = curl_easy_init();
	char url[512];
	CURLcode rc;

	if (easy == NULL)
		return false;
	snprintf(url, sizeof(url), "http://%s%s", source, target);
	snprintf(a->source, sizeof(a->source), "%s", source);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, DIAL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, a);
	if (strcmp(method, "POST") == 0) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDS, body == NULL ? "" : body);
		curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)body_bytes);
	}
	rc = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &a->status);
	curl_easy_cleanup(easy);
	if (rc != CURLE_OK)
		snprintf(a->failure, sizeof(a->failure), "%s: %s", source,
		    curl_easy_strerror(rc));
	return rc == CURLE_OK;
}

bool
ctl_request(struct ctl *ctl, const char *method, const char *target,
    const char *body, size_t body_bytes, struct ctl_answer *answer)
{
	struct ctl_answer unavailable = {0};
	uint32_t i;

	memset(answer, 0, sizeof(*answer));
	for (i = 0; i < ctl->source_count; i++) {
		struct ctl_answer a = {0};

		if (!ask_source(ctl->sources[i], method, target, body,
			body_bytes, &a)) {
			if (answer->failure[0] == '\0')
				memcpy(answer->failure, a.failure,
				    sizeof(answer->failure));
			ctl_answer_free(&a);
			continue;
		}
		if (a.status != STATUS_UNAVAILABLE) {
			ctl_answer_free(&unavailable);
			*answer = a;
			return true;
		}
		// Another source may still reach a quorum.
		ctl_answer_free(&unavailable);
		unavailable = a;
	}
	if (unavailable.body == NULL)
		return false;
	*answer = unavailable;
	return true;
}

char *
ctl_read_file(const char *path, size_t *size_bytes)
{
	FILE *f = fopen(path, "rb");
	char *bytes = NULL;
	size_t capacity = 0;
	size_t n;

	if (f == NULL) {
		fprintf(stderr, "mvctl: %s: %s\n", path, strerror(errno));
		return NULL;
	}
	*size_bytes = 0;
	do {
		if (*size_bytes == capacity) {
			capacity = capacity ? capacity * 2 : 65536;
			bytes = realloc(bytes, capacity + 1);
			if (bytes == NULL)
				abort();
		}
		n = fread(bytes + *size_bytes, 1, capacity - *size_bytes, f);
		*size_bytes += n;
	} while (n > 0);
	bytes[*size_bytes] = '\0';
	fclose(f);
	return bytes;
}
