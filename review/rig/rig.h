/// @file
/// Runs the project's programs on loopback, as the platform would, with
/// stand-ins of backend servers, clients and the operator. Used by the scripts of
/// the review.
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_SOURCES	5
#define RIG_MAX_PROXIES 8

/// Exit codes of a case.
#define RIG_HELD     0
#define RIG_BROKEN   1
#define RIG_CANT_RUN 2

/// Bounds of the small deployments.
#define RIG_DRAIN_MS	     2000
#define RIG_STABLE_WINDOW_MS 3000
#define RIG_HEARTBEAT_MS     1500
#define RIG_GRACE_MS	     6000

struct rig_request {
	char method[16];
	char target[512];
	char id[96];	   ///< X-Magnoliavalve-Attempt-Id
	char expected[64]; ///< X-Magnoliavalve-Expected-Instance
	int64_t deadline_ms;
	int64_t length; ///< Of the body; -1: chunked.
	char head[16384];
	size_t head_bytes;
};

/// Stand-in of a backend server. It serves one request at a time on a connection.
struct rig_server {
	int node; ///< Of the proxy beside it, from 1.
	char id[64];
	const char *service;
	uint64_t born_ms;
	volatile bool listening;
	volatile bool beating;
	volatile bool stopped; ///< Ended: closes all connections.
	int sequence;
	int listen_fd;
	/// Reads the rest of the request and answers.
	/// @return whether the connection is kept
	bool (*serve)(struct rig_server *server, int fd,
	    const struct rig_request *request, int nth_on_connection);
	void *arg;
};

struct rig_answer {
	int status;    ///< 0: none.
	bool complete; ///< The body is as long as its framing states.
	bool signature;
	char id[96];
	size_t body_bytes;
	char body[1 << 18]; ///< Start of the body.
};

int64_t rig_now_ms(void); ///< Since rig_open.
bool rig_trouble(void);	  ///< TROUBLE is not 0.
void rig_sleep_until(int64_t at_ms);
void rig_sleep_ms(int64_t ms);

/// Opens the record and picks addresses. Ends the process with RIG_CANT_RUN if it
/// can't.
void rig_open(const char *folder, int proxies, const char *const *services);
void rig_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/// Ends all processes and exits.
void rig_end(int code) __attribute__((noreturn));

const char *rig_proxy_host(int node);  ///< From 1.
const char *rig_source_host(int node); ///< From 1.
void rig_start_source(int node, bool first_start);
void rig_start_proxy(int node);
void rig_signal_proxy(int node, int signal);
void rig_kill_proxy(int node); ///< SIGKILL, and waits.
bool rig_proxy_is_running(int node);
/// Starts the sources and the proxies, and sends the first configuration.
void rig_start_all(const char *config);
/// Waits until a proxy says that it is ready.
void rig_await_ready(int node);

/// Sends a configuration until it gets a clear response; returns its status.
int rig_replace_config(const char *config);
/// Calls the control address of a proxy; returns the status, 0 for none.
int rig_call_control(int node, const char *path, const char *body);

void rig_start_server(struct rig_server *server);
int rig_beat(struct rig_server *server, int sequence, const char *state);
int rig_deregister(struct rig_server *server);

/// Connects; -1 on failure.
int rig_connect(const char *host, int port);
/// Connects as a client of a proxy.
/// @param window_bytes  size of its receive buffer
int rig_connect_client(int node, int window_bytes);
bool rig_write(int fd, const void *bytes, size_t size_bytes);
/// Reads and drops a body.
/// @return its length; -1 if it is incomplete
int64_t rig_read_body(int fd, int64_t length);
/// Reads an answer of a proxy, or of a server through it.
void rig_read_answer(int fd, struct rig_answer *answer, int timeout_ms);
/// Sends a request on a new connection and reads the answer.
void rig_call(int node, const char *method, const char *host, const char *path,
    const char *id, int deadline_ms, const char *body, size_t body_bytes,
    struct rig_answer *answer);
void rig_close_reset(int fd); ///< Closes with a reset.

#endif
