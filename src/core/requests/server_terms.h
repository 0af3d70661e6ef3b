/// @file
/// Terms on which a backend server takes requests, as it states them in its
/// responses: a limit on their rate, from all proxies together, and that it
/// leaves.
///
/// The proxy next to the server holds it to them, since all requests pass through
/// it. The other proxies keep a copy and send it along with their requests, so
/// that a proxy that has just started holds its server to terms that were stated
/// before.
#ifndef MV_CORE_REQUESTS_SERVER_TERMS_H
#define MV_CORE_REQUESTS_SERVER_TERMS_H

#include <stdbool.h>
#include <stdint.h>

/// Terms of one process of a server.
struct server_terms {
	uint64_t server;      ///< See server_terms_hash; 0: not known.
	uint32_t limit_milli; ///< Requests in 1,000 s; 0: no limit.
	bool leaving;	      ///< Never revoked by the same process.
};

/// What the proxy next to a server knows. Zero it before the first use.
struct server_terms_state {
	struct server_terms terms;
	bool answered;		 ///< The server has answered this proxy.
	int64_t limit_stated_us; ///< Time of the last response with a limit.
};

/// Identifies a process of a server by its id and start time. 0 if it announces
/// no start time: a later process may have the same id.
uint64_t server_terms_hash(const char *id, uint64_t process_start);

/// Forgets the terms if they are those of another process.
///
/// @return whether they changed
bool server_terms_set_server(struct server_terms_state *state, uint64_t server);

/// Applies what a response of the server states. A response without a limit
/// ends it only if its request was sent after a response with one: responses
/// may overtake each other.
///
/// @param sent_us  time at which the request was sent
/// @return whether the terms changed
bool server_terms_state_response(struct server_terms_state *state,
    uint32_t limit_milli, bool leaving, int64_t sent_us, int64_t now_us);

/// Applies the copy of another proxy. A limit counts only until the server
/// itself has answered here.
///
/// @return whether the terms changed
bool server_terms_learn(
    struct server_terms_state *state, const struct server_terms *copy);

#endif
