// Operator requests to a replicated log.
#include <jansson.h>
#include <stdio.h>

#include "io/replica/replica_admin.h"

/// Parses the body of a replacement request.
///
/// @return 0, or -1 if the body is invalid
static int
parse_replacement(const char *body, size_t body_bytes, uint64_t *remove_id,
    struct replica_peer *add)
{
	json_t *root =
	    json_loadb(body == NULL ? "" : body, body_bytes, 0, NULL);
	struct address parsed;
	json_int_t remove_number = 0;
	json_int_t add_number = 0;
	const char *address = "";
	int rc = -1;

	if (root == NULL ||
	    json_unpack(root, "{s?I, s?I, s?s}", "remove", &remove_number,
		"add", &add_number, "address", &address) != 0)
		goto out;
	if (remove_number < 0 || add_number < 0 ||
	    (add_number != 0 && address_parse(address, &parsed) != 0))
		goto out;
	*remove_id = (uint64_t)remove_number;
	add->id = (uint64_t)add_number;
	snprintf(add->address, sizeof(add->address), "%s", address);
	rc = 0;
out:
	json_decref(root);
	return rc;
}

uint32_t
replica_admin_replace(struct replica_host *host, const char *body,
    size_t body_bytes, char text[REPLICA_ADMIN_TEXT_BYTES])
{
	struct replica_peer add = {0};
	uint64_t remove_id = 0;
	struct error err;

	if (!replica_is_leader(&host->replica)) {
		snprintf(text, REPLICA_ADMIN_TEXT_BYTES,
		    "{\"result\":\"unavailable\",\"why\":\"this replica is "
		    "not the leader\"}");
		return 503;
	}
	if (parse_replacement(body, body_bytes, &remove_id, &add) != 0) {
		snprintf(
		    text, REPLICA_ADMIN_TEXT_BYTES, "{\"result\":\"invalid\"}");
		return 400;
	}
	if (replica_host_replace(host, remove_id, &add, &err) != 0) {
		snprintf(text, REPLICA_ADMIN_TEXT_BYTES,
		    "{\"result\":\"refused\",\"why\":\"%s\"}", err.text);
		return 409;
	}
	snprintf(text, REPLICA_ADMIN_TEXT_BYTES, "{\"result\":\"replacing\"}");
	return 202;
}
