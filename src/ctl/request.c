// Requests to the sources over HTTP.
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "fetch/fetch.h"

#define REQUEST_TIMEOUT_MS 5000L
#define STATUS_UNAVAILABLE 503

void
ctl_answer_free(struct ctl_answer *answer)
{
	free(answer->body);
	memset(answer, 0, sizeof(*answer));
}

static bool
ask_source(const char *source, const char *method, const char *target,
    const char *body, size_t body_bytes, struct ctl_answer *a)
{
	struct fetch_request request = {.address = source,
	    .target = target,
	    .body_bytes = body_bytes,
	    .timeout_ms = REQUEST_TIMEOUT_MS};
	struct fetch_answer answer;
	struct error err;

	if (strcmp(method, "POST") == 0)
		request.body = body == NULL ? "" : body;
	snprintf(a->source, sizeof(a->source), "%s", source);
	if (fetch(&request, &answer, &err) != 0) {
		snprintf(
		    a->failure, sizeof(a->failure), "%s: %s", source, err.text);
		return false;
	}
	a->status = answer.status;
	a->body = answer.body;
	a->body_bytes = answer.body_bytes;
	return true;
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
