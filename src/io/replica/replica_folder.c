// Data folder at the start of a replica: its identity and first entry.
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "io/replica/replica_folder.h"

int
replica_folder_load_identity(struct replica_host *host,
    struct replica_host_settings *s, bool *is_new, struct error *err)
{
	struct wal_identity identity;

	if (wal_read_identity(host->disk, &identity, err) != 0)
		return -1;
	*is_new = identity.replica == 0;
	if (!*is_new && s->self_forming && identity.cluster == host->cluster)
		s->id = identity.replica;
	if (!*is_new) {
		if (identity.cluster != host->cluster ||
		    identity.replica != s->id)
			return error_set(err, ERR_INVALID, "open data folder",
			    s->data_path,
			    "it belongs to replica %" PRIu64
			    " or to another cluster",
			    identity.replica);
		return 0;
	}
	if (s->self_forming)
		s->id = replica_host_choose_id(s);
	else if (!s->bootstrap && !s->join)
		return error_set(err, ERR_INVALID, "open data folder",
		    s->data_path,
		    "it is empty: pass --bootstrap at a cluster's first start, "
		    "or --join with a replica id never used before");
	identity.cluster = host->cluster;
	identity.replica = s->id;
	return wal_write_identity(host->disk, &identity, err);
}

int
replica_folder_write_config(struct replica_host *host,
    const struct replica_host_settings *s, struct replica_stored_state *stored,
    struct error *err)
{
	char text[REPLICA_CONFIG_TEXT_BYTES];
	struct replica_entry e = {
	    .index = 1, .term = 1, .kind = REPLICA_ENTRY_CONFIG, .data = text};
	const struct replica_storage_ops *ops = host->wal.storage.ops;

	e.size_bytes = (uint32_t)replica_config_encode(&s->initial, text);
	if (ops->save_vote(&host->wal.storage, 1, 0, err) != 0 ||
	    ops->append(&host->wal.storage, &e, 1, err) != 0 ||
	    ops->sync(&host->wal.storage, err) != 0)
		return -1;
	stored->term = 1;
	stored->entries = calloc(1, sizeof(e));
	assert(stored->entries != NULL);
	e.data = strdup(text);
	assert(e.data != NULL);
	stored->entries[0] = e;
	stored->entry_count = 1;
	return 0;
}
