/// @file
/// TCP listeners, framed TCP streams and UDP sockets on an event loop.
#ifndef MV_IO_NET_NET_H
#define MV_IO_NET_NET_H

#include <msgpack/sbuffer.h>
#include <stdbool.h>
#include <stdint.h>

#include "io/loop.h"
#include "io/net/address.h"
#include "wire/messages.h"

struct stream;

/// What the owner of a stream is told. Closing the stream inside is allowed.
struct stream_ops {
	/// A whole message arrived; it is freed on return.
	void (*on_message)(struct stream *stream, struct message *message);
	/// The stream failed or the other end closed it. Called at most once,
	/// and never after stream_close. The stream is freed afterwards.
	void (*on_closed)(struct stream *stream, const struct error *err);
};

/// A TCP connection that carries framed messages in both directions.
struct stream {
	const struct stream_ops *ops;
	void *owner; ///< For the owner's use.
	struct loop *loop;
	struct loop_watch watch;
	char peer[ADDRESS_TEXT_BYTES];
	msgpack_sbuffer out;
	size_t out_sent_bytes;
	char *in;
	size_t in_used_bytes;
	size_t in_capacity_bytes;
	uint32_t max_frame_bytes;
	bool connecting;
	bool flush_deferred;
	bool closed;
	int64_t last_received_us;
	uint64_t sent_bytes;
	uint64_t received_bytes;
	struct listener *listener; ///< That accepted it; NULL if dialled.
	struct stream *next;	   ///< Among those of the listener.
	struct stream *prev;
};

/// Starts to connect; messages sent meanwhile are queued.
///
/// @return the stream, or NULL with err set
struct stream *stream_dial(struct loop *loop, const struct address *to,
    const struct stream_ops *ops, void *owner, struct error *err);

/// Queues a message.
///
/// @return 0, or -1 if the stream is closed or its queue is full
int stream_send(
    struct stream *stream, enum message_type type, const void *value);

/// Bytes queued and not yet taken by the kernel.
size_t stream_queued_bytes(const struct stream *stream);

/// Sends what the kernel takes at once, closes and frees the stream.
void stream_close(struct stream *stream);

/// A TCP listener.
struct listener {
	struct loop *loop;
	struct loop_watch watch;
	const struct stream_ops *ops;
	void *owner;
	struct stream *first; ///< Accepted and still open.
	/// Called for each accepted stream, whose owner is the listener's; may
	/// be NULL.
	void (*on_accept)(void *owner, struct stream *stream);
};

/// Listens; port 0 lets the kernel choose.
///
/// @param bound  receives the address in use
/// @return 0, or -1 with err set
int listener_open(struct listener *listener, struct loop *loop,
    const struct address *at, const struct stream_ops *ops, void *owner,
    void (*on_accept)(void *owner, struct stream *stream),
    struct address *bound, struct error *err);

/// Stops to listen, and closes all streams that it accepted.
void listener_close(struct listener *listener);

/// A UDP socket that carries one message a datagram.
struct datagram_socket {
	struct loop *loop;
	struct loop_watch watch;
	void *owner;
	void (*on_message)(
	    void *owner, const struct address *from, struct message *message);
	uint64_t sent_bytes;
	uint64_t received_bytes;
	uint64_t sent_count;
	uint64_t received_count;
	uint64_t rejected_count;
};

int datagram_open(struct datagram_socket *socket, struct loop *loop,
    const struct address *at, void *owner,
    void (*on_message)(
	void *owner, const struct address *from, struct message *message),
    struct address *bound, struct error *err);

void datagram_close(struct datagram_socket *socket);

/// Sends an encoded message; a full kernel buffer drops it, as a network may.
void datagram_send(struct datagram_socket *socket, const struct address *to,
    const char *bytes, size_t size_bytes);

#endif
