// The service that requests which begin on this VM name as their caller's.
#include <stdio.h>
#include <string.h>

#include "io/dialect.h"
#include "io/log/log.h"
#include "proxy/ingress/ingress_request.h"

static void
log_change(
    const struct ingress_request *r, const char *service, const char *source)
{
	struct log_line line;

	log_begin(&line, LOG_INFO, "ingress",
	    "Requests that begin here name another caller's service.");
	log_text(&line, "service", service);
	log_text(&line, "before", r->ingress->caller_service);
	log_text(&line, "source", source);
	log_text(&line, "request", r->request_id);
	log_end(&line);
}

void
ingress_set_service(struct ingress *ingress, const char *service)
{
	snprintf(ingress->settings.service, sizeof(ingress->settings.service),
	    "%s", service);
}

void
ingress_add_caller_service(struct ingress_request *r)
{
	struct ingress *ingress = r->ingress;
	const char *name = ingress->dialect->headers.caller_service;
	const char *service = ingress->settings.service;
	const char *source = "settings";

	if (name == NULL)
		return;
	if (service[0] == '\0') {
		service = egress_get_service_name(ingress->egress);
		source = "announcement";
	}
	if (strcmp(ingress->caller_service, service) != 0) {
		log_change(r, service, source);
		snprintf(ingress->caller_service,
		    sizeof(ingress->caller_service), "%s", service);
	}
	header_list_add(
	    &r->headers, bytes_from_string(name), bytes_from_string(service));
}
