// Terms of a backend server: from its responses, and from other proxies.
#include <string.h>
#include <xxhash.h>

#include "core/requests/server_terms.h"

uint64_t
server_terms_hash(const char *id, uint64_t process_start)
{
	if (process_start == 0)
		return 0;
	return XXH3_64bits_withSeed(id, strlen(id), process_start);
}

bool
server_terms_set_server(struct server_terms_state *state, uint64_t server)
{
	if (state->terms.server == server)
		return false;
	memset(state, 0, sizeof(*state));
	state->terms.server = server;
	return true;
}

bool
server_terms_state_response(struct server_terms_state *state,
    uint32_t limit_milli, bool leaving, int64_t sent_us, int64_t now_us)
{
	struct server_terms old = state->terms;

	state->answered = true;
	state->terms.leaving |= leaving;
	if (limit_milli > 0)
		state->limit_stated_us = now_us;
	if (limit_milli > 0 || sent_us >= state->limit_stated_us)
		state->terms.limit_milli = limit_milli;
	return old.limit_milli != state->terms.limit_milli ||
	    old.leaving != state->terms.leaving;
}

bool
server_terms_learn(
    struct server_terms_state *state, const struct server_terms *copy)
{
	struct server_terms old = state->terms;

	if (copy->server == 0 || copy->server != state->terms.server)
		return false;
	state->terms.leaving |= copy->leaving;
	if (!state->answered && copy->limit_milli > 0)
		state->terms.limit_milli = copy->limit_milli;
	return old.limit_milli != state->terms.limit_milli ||
	    old.leaving != state->terms.leaving;
}
