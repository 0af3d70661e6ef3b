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

/// Callbacks of a stream. They may close it.
struct stream_ops {
	/// A message was received. It is freed on return.
	void (*on_message)(struct stream *stream, struct message *message);
	/// The stream failed or the peer closed it. Called at most once,
	/// and never after stream_close. The stream is freed afterwards.
	void (*on_closed)(struct stream *stream, const struct error *err);
};

struct stream_pacer;

/// Callbacks of a pacer, which may queue bodies of its own for its streams.
struct stream_pacer_ops {
	/// A frame was queued on a stream.
	void (*on_sent)(struct stream_pacer *pacer, size_t size_bytes);
	/// The kernel has taken all that a stream had queued.
	void (*on_idle)(struct stream_pacer *pacer);
	/// A stream was closed; it must not be used any more.
	void (*on_closed)(
	    struct stream_pacer *pacer, const struct stream *stream);
};

/// Counts the bytes of streams that share the link of this VM.
struct stream_pacer {
	const struct stream_pacer_ops *ops;
};

/// A TCP connection that carries framed messages in both directions.
struct stream {
	const struct stream_ops *ops;
	void *owner; ///< Set and used by the owner.
	struct loop *loop;
	struct loop_watch watch;
	char peer[ADDRESS_TEXT_BYTES];
	struct address peer_address;
	msgpack_sbuffer out;
	size_t out_sent_bytes;
	size_t out_held_bytes; ///< Counted in held_bytes.
	size_t in_held_bytes;
	char *in;
	size_t in_used_bytes;
	size_t in_capacity_bytes;
	uint32_t max_frame_bytes;
	bool connecting;
	bool flush_deferred;
	bool overflowed; ///< A message was not queued; the stream ends.
	bool finishing;	 ///< Nothing more is sent; the peer closes.
	bool closed;
	int64_t last_received_us;
	uint64_t sent_bytes;
	uint64_t received_bytes;
	struct stream_pacer *pacer; ///< May be NULL. Set by its owner.
	struct listener *listener;  ///< That accepted it; NULL if dialled.
	struct stream *next;	    ///< In the list of the listener.
	struct stream *prev;
};

/// Starts to connect. Messages sent before it is connected are queued.
///
/// @return the stream, or NULL with err set
struct stream *stream_dial(struct loop *loop, const struct address *to,
    const struct stream_ops *ops, void *owner, struct error *err);

/// Queues a message. A stream whose queue is full ends: on_closed follows.
///
/// @return 0, or -1 if the stream is closed or its queue is full
int stream_send(
    struct stream *stream, enum message_type type, const void *value);

/// Number of queued bytes that the kernel has not accepted yet.
size_t stream_queued_bytes(const struct stream *stream);

/// Whether the stream is open and the kernel has taken all that was queued.
bool stream_is_idle(const struct stream *stream);

/// Ends what is sent, behind all that is queued, and reads on until the peer has taken
/// it and closes: on_closed follows. A close with unread bytes would reset the
/// connection, and discard what is on its way.
void stream_finish(struct stream *stream);

/// Closes and frees the stream. Sends the queued bytes that the kernel accepts
/// at once and drops the rest.
void stream_close(struct stream *stream);

/// A TCP listener.
struct listener {
	struct loop *loop;
	struct loop_watch watch;
	const struct stream_ops *ops;
	void *owner;
	struct stream *first; ///< Accepted streams that are open.
	/// Called for each accepted stream, which gets the owner of the
	/// listener. May be NULL.
	void (*on_accept)(void *owner, struct stream *stream);
};

/// Opens a listener; port 0 lets the kernel choose.
///
/// @param bound  receives the bound address
/// @return 0, or -1 with err set
int listener_open(struct listener *listener, struct loop *loop,
    const struct address *at, const struct stream_ops *ops, void *owner,
    void (*on_accept)(void *owner, struct stream *stream),
    struct address *bound, struct error *err);

/// Closes the listener and all streams that it accepted.
void listener_close(struct listener *listener);

/// A UDP socket that carries one message per datagram.
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

/// Opens and binds a socket; port 0 lets the kernel choose.
///
/// @param bound  receives the bound address
/// @return 0, or -1 with err set
int datagram_open(struct datagram_socket *socket, struct loop *loop,
    const struct address *at, void *owner,
    void (*on_message)(
	void *owner, const struct address *from, struct message *message),
    struct address *bound, struct error *err);

/// Closes the socket. Does nothing if it is not open.
void datagram_close(struct datagram_socket *socket);

/// Sends an encoded message of a type. A full send buffer drops it, as a network
/// may.
void datagram_send(struct datagram_socket *socket, const struct address *to,
    enum message_type type, const char *bytes, size_t size_bytes);

#endif
