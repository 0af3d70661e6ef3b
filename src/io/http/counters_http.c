// Handlers of GET /counters and GET /metrics.
#include "io/http/counters_http.h"
#include "io/log/counters.h"
#include "io/log/histogram.h"

void
counters_respond(struct http_exchange *exchange)
{
	static const struct http_header plain = {
	    "Content-Type", "text/plain; charset=utf-8"};
	msgpack_sbuffer out;

	msgpack_sbuffer_init(&out);
	counters_render(&out);
	http_exchange_respond(exchange, 200, &plain, 1, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}

void
metrics_respond(struct http_exchange *exchange)
{
	static const struct http_header exposition = {
	    "Content-Type", "text/plain; version=0.0.4; charset=utf-8"};
	msgpack_sbuffer out;

	msgpack_sbuffer_init(&out);
	counters_render_metrics(&out);
	histograms_render(&out);
	http_exchange_respond(
	    exchange, 200, &exposition, 1, out.data, out.size);
	msgpack_sbuffer_destroy(&out);
}
