// HTTP requests of mvctl to the sources.
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "fetch/fetch.h"

#define REQUEST_TIMEOUT_MS 5000L
#define STATUS_UNAVAILABLE 503

void
ctl_response_free(struct ctl_response *response)
{
	free(response->body);
	memset(response, 0, sizeof(*response));
}

static bool
send_request(const char *source, const char *method, const char *target,
    const char *body, size_t body_bytes, struct ctl_response *response)
{
	struct fetch_request request = {.address = source,
	    .target = target,
	    .body_bytes = body_bytes,
	    .timeout_ms = REQUEST_TIMEOUT_MS};
	struct fetch_response fetched;
	struct error err;

	if (strcmp(method, "POST") == 0)
		request.body = body == NULL ? "" : body;
	snprintf(response->source, sizeof(response->source), "%s", source);
	if (fetch(&request, &fetched, &err) != 0) {
		snprintf(response->failure, sizeof(response->failure), "%s: %s",
		    source, err.text);
		return false;
	}
	response->status = fetched.status;
	response->body = fetched.body;
	response->body_bytes = fetched.body_bytes;
	return true;
}

bool
ctl_send_request(struct ctl *ctl, const char *method, const char *target,
    const char *body, size_t body_bytes, struct ctl_response *response)
{
	struct ctl_response unavailable = {0};
	uint32_t i;

	memset(response, 0, sizeof(*response));
	for (i = 0; i < ctl->source_count; i++) {
		struct ctl_response current = {0};

		if (!send_request(ctl->sources[i], method, target, body,
			body_bytes, &current)) {
			if (response->failure[0] == '\0')
				memcpy(response->failure, current.failure,
				    sizeof(response->failure));
			ctl_response_free(&current);
			continue;
		}
		if (current.status != STATUS_UNAVAILABLE) {
			ctl_response_free(&unavailable);
			*response = current;
			return true;
		}
		// Another source may be able to reach a quorum.
		ctl_response_free(&unavailable);
		unavailable = current;
	}
	if (unavailable.body == NULL)
		return false;
	*response = unavailable;
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
