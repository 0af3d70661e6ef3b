// Settings of mvproxy.
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <xxhash.h>

#include "io/clock.h"
#include "proxy/settings.h"

#define S struct proxy_settings
#define TEXT(path_, member_, required_, fallback_, help_)                    \
	{                                                                    \
		path_, SETTINGS_TEXT, offsetof(S, member_), required_, 0, 0, \
		    fallback_, help_                                         \
	}
#define ADDRESS(path_, member_, required_, help_)                            \
	{                                                                    \
		path_, SETTINGS_ADDRESS, offsetof(S, member_), required_, 0, \
		    0, NULL, help_                                           \
	}
#define LIST(path_, member_, help_)                                            \
	{                                                                      \
		path_, SETTINGS_LIST, offsetof(S, member_), false, 0, 0, "[]", \
		    help_                                                      \
	}
#define NUMBER(path_, member_, max_, fallback_, help_)                        \
	{                                                                     \
		path_, SETTINGS_NUMBER, offsetof(S, member_), false, 0, max_, \
		    fallback_, help_                                          \
	}
#define INTEGER(path_, member_, min_, max_, fallback_, help_)               \
	{                                                                   \
		path_, SETTINGS_INTEGER, offsetof(S, member_), false, min_, \
		    max_, fallback_, help_                                  \
	}

#define PERCENT 100

/// A lease expires after three missed announcements and the delay of a fourth.
#define LEASE_PERIODS_PCT 330

/// A load balancer probes once a second and stops sending callers to a proxy
/// after two failed probes; until then callers still arrive.
#define ANNOUNCE_MAX_US	   (2500 * US_PER_MS)
#define ANNOUNCE_SHARE_PCT 42

/// The process ends this long before it would be killed.
#define STOP_MARGIN_US (250 * US_PER_MS)

/// Share of the allowed retries that is used. The rest covers arrivals that the
/// proxies cannot count: after a restart, and of requests whose outcome is
/// unknown.
#define RETRY_RATIO_SHARE 0.8
#define RETRY_BURST_SHARE 0.5

#define BYTES_PER_MB (1024 * 1024)

const struct settings_field proxy_fields[] = {
    PROGRAM_LOG_FIELDS(S),
    TEXT("dialect", dialect, false, "\"own\"",
	"names of headers and format of announcements"),
    TEXT("name", name, true, NULL, "name of this VM, unique in the mesh"),
    TEXT("region", region, true, NULL, "region of this VM"),
    TEXT("dc", dc, true, NULL, "data centre of this VM"),
    TEXT("host", host, true, NULL,
	"IP address at which other members reach this proxy"),
    ADDRESS("listen.outer", listen_outer, true, "HTTP for callers"),
    ADDRESS("listen.inner", listen_inner, false,
	"HTTP for the backend server on this VM; must be on loopback"),
    ADDRESS("listen.peer", listen_peer, true, "streams from other proxies"),
    INTEGER("tell.peer_port", advertised_peer_port, 0, 65535, "0",
	"port of listen.peer at which other proxies reach it; 0: the same"),
    ADDRESS("listen.control", listen_control, true,
	"gossip (UDP) and control (TCP)"),
    ADDRESS("listen.admin", listen_admin, true,
	"announcements, counters, status; must be on loopback"),
    ADDRESS("listen.ready", listen_ready, false,
	"second address for the same calls, for a load balancer's probes"),
    {"admin_anywhere", SETTINGS_BOOL, offsetof(S, admin_anywhere), false, 0, 0,
	"false", "listen.admin may be on another address than loopback"},
    TEXT("service", service, false, "\"\"",
	"service of the backend server on this VM; if set, announcements of "
	"another one are refused"),
    ADDRESS("backend", backend, false,
	"address of the backend server on this VM; if set, announcements of "
	"another one are refused"),
    INTEGER("lease_ms", lease_ms, 100, 60000, "5000",
	"lease of an announcement that gives none"),
    INTEGER("announce_ms", announce_ms, 0, 60000, "0",
	"time between announcements; a lease lasts for at least three of them"),
    INTEGER("source_port", source_port, 0, 65535, "0",
	"port of the sources in place of those in `sources`; 0: as listed"),
    TEXT("bound_path", bound_path, false, "\"\"",
	"file that receives the addresses in use"),
    LIST("seeds", seeds, "control addresses of some proxies, IP:port"),
    LIST("sources", sources, "control addresses of all sources, IP:port"),
    LIST("ledgers", ledgers, "client addresses of all ledgers, IP:port"),
    INTEGER("gossip.probe_ms", gossip_probe_ms, 50, 60000, "1000",
	"time between probes"),
    INTEGER("gossip.ack_timeout_ms", gossip_ack_timeout_ms, 10, 30000, "300",
	"wait before indirect probes"),
    INTEGER("gossip.notice_ms", gossip_notice_ms, 20, 10000, "200",
	"time between notices while there are updates to send"),
    INTEGER("gossip.sync_ms", gossip_sync_ms, 500, 3600000, "30000",
	"time between table exchanges"),
    INTEGER("gossip.retry_dead_ms", gossip_retry_dead_ms, 200, 3600000, "5000",
	"time between probes of members considered dead"),
    INTEGER("gossip.forget_ms", gossip_forget_ms, 1000, 604800000, "86400000",
	"time after which a dead member is removed"),
    INTEGER("gossip.suspicion_periods", gossip_suspicion_periods, 1, 100, "3",
	"probe periods of a suspicion, times the digits of the member count"),
    INTEGER("report_ms", report_ms, 100, 60000, "5000",
	"time between reports to the sources"),
    INTEGER("drain.announce_ms", drain_announce_ms, 0, 60000, "1000",
	"time from announcing a shutdown to refusing work"),
    INTEGER("drain.limit_ms", drain_limit_ms, 0, 3600000, "60000",
	"longest wait for requests in progress"),
    NUMBER("drain.stop_s", drain_stop_s, 3600, "0",
	"time from the termination signal until the kill; not 0: replaces "
	"drain.announce_ms and drain.limit_ms"),
    INTEGER("warm_ms", warm_ms, 0, 600000, "10000",
	"slow start of a backend server"),
    INTEGER("retry.ratio_pct", retry_ratio_pct, 0, 100, "20",
	"retries for each hundred requests of a service"),
    INTEGER("retry.burst", retry_burst, 0, 100000, "200",
	"retries at once for a service, of all proxies together"),
    NUMBER("retry.allowed", retry_allowed, 10, "0",
	"retries for each request that backend servers tolerate; not 0: "
	"replaces retry.ratio_pct"),
    NUMBER("retry.allowed_burst", retry_allowed_burst, 1000000, "0",
	"retries beyond that in a window; not 0: replaces retry.burst"),
    INTEGER("limits.body_bytes", max_body_bytes, 1024, 1099511627776,
	"1073741824", "largest request body"),
    INTEGER("limits.connections", max_connections, 1, 100000, "2000",
	"connections of callers, for each listener; at most half of the "
	"process's descriptors in all"),
    INTEGER("limits.queued", max_queued, 1, 1000000, "2000",
	"longest admission queue, in requests"),
    INTEGER("limits.queued_bytes", max_queued_bytes, 65536, 1073741824,
	"16777216", "memory of the requests in the admission queue"),
    INTEGER("limits.memory_mb", memory_mb, 32, 1048576, "1024",
	"memory of this VM for the proxy, in MB; callers may make it hold 33 % "
	"of that"),
    NUMBER("limits.link_mbps", link_mbps, 1000000, "0",
	"capacity of the link of this VM, in Mbit/s, to which long "
	"bodies are paced; 0: not known"),
};
const size_t proxy_field_count = sizeof(proxy_fields) / sizeof(proxy_fields[0]);

static int
copy_name(const char *key, const char *from, char *out, size_t out_bytes)
{
	if (from[0] == '\0' || strlen(from) >= out_bytes) {
		fprintf(stderr, "settings: %s: must have 1 to %zu characters\n",
		    key, out_bytes - 1);
		return 1;
	}
	memset(out, 0, out_bytes);
	strcpy(out, from);
	return 0;
}

static int
parse_addresses(const char *key, const struct settings_list *list,
    struct address *out, uint32_t max, uint32_t *count)
{
	int problems = 0;
	uint32_t i;

	*count = 0;
	for (i = 0; i < list->count; i++) {
		if (*count < max &&
		    address_parse(list->items[i], &out[*count]) == 0) {
			(*count)++;
			continue;
		}
		fprintf(stderr,
		    "settings: %s[%u]: must be IP:port, at most %u entries\n",
		    key, i, max);
		problems++;
	}
	return problems;
}

static int
parse_seeds(const struct proxy_settings *s, struct membership_settings *m)
{
	struct address seeds[SETTINGS_MAX_LIST];
	uint32_t count;
	uint32_t i;
	int problems = parse_addresses(
	    "seeds", &s->seeds, seeds, SETTINGS_MAX_LIST, &count);

	m->seed_count = count;
	for (i = 0; i < count; i++) {
		char text[ADDRESS_TEXT_BYTES];

		address_format(&seeds[i], text);
		*strrchr(text, ':') = '\0';
		snprintf(
		    m->seeds[i].host, sizeof(m->seeds[i].host), "%.15s", text);
		m->seeds[i].port = ntohs(seeds[i].in.sin_port);
	}
	return problems;
}

static int
check_loopback(const char *key, const char *text)
{
	if (text[0] == '\0' || strncmp(text, "127.", 4) == 0)
		return 0;
	fprintf(stderr, "settings: %s: must be on 127.0.0.0/8\n", key);
	return 1;
}

static int
resolve_self(const struct proxy_settings *s, struct member *self)
{
	struct address host;
	int problems = 0;

	memset(self, 0, sizeof(*self));
	problems += copy_name("name", s->name, self->name, sizeof(self->name));
	problems +=
	    copy_name("region", s->region, self->region, sizeof(self->region));
	problems += copy_name("dc", s->dc, self->dc, sizeof(self->dc));
	problems += copy_name("host", s->host, self->host, sizeof(self->host));
	if (address_make(s->host, 0, &host) != 0) {
		fprintf(stderr, "settings: host: must be an IP address\n");
		problems++;
	}
	// A later process of this name must have a higher incarnation.
	self->incarnation = (uint64_t)clock_wall_us();
	return problems;
}

static int
resolve_dialect(const struct proxy_settings *s,
    struct control_settings *control, struct traffic_settings *traffic)
{
	const struct dialect *dialect = dialect_find(s->dialect);

	if (dialect == NULL)
		fprintf(stderr, "settings: dialect: unknown dialect '%s'\n",
		    s->dialect);
	control->dialect = dialect;
	traffic->ingress.dialect = dialect;
	traffic->egress.dialect = dialect;
	return dialect == NULL ? 1 : 0;
}

int
proxy_settings_resolve_backend(
    const struct proxy_settings *s, struct control_settings *control)
{
	if (s->service[0] != '\0' &&
	    copy_name("service", s->service, control->service,
		sizeof(control->service)) != 0)
		return 1;
	if (s->service[0] == '\0')
		control->service[0] = '\0';
	control->has_backend = s->backend[0] != '\0';
	address_parse(s->backend, &control->backend);
	return 0;
}

int
proxy_settings_resolve_sources(
    const struct proxy_settings *s, struct control_settings *control)
{
	struct address sources[CONTROL_MAX_SOURCES];
	uint32_t count;
	uint32_t i;
	int problems = parse_addresses(
	    "sources", &s->sources, sources, CONTROL_MAX_SOURCES, &count);

	if (problems > 0)
		return problems;
	for (i = 0; i < count && s->source_port != 0; i++)
		sources[i].in.sin_port = htons((uint16_t)s->source_port);
	memcpy(control->sources, sources, sizeof(sources));
	control->source_count = count;
	return 0;
}

/// Splits the time until the kill: first the shutdown is announced to the other
/// members, then requests in progress complete.
static void
split_stop_time(int64_t stop_us, struct control_settings *control)
{
	int64_t announce_us = stop_us * ANNOUNCE_SHARE_PCT / PERCENT;

	if (announce_us > ANNOUNCE_MAX_US)
		announce_us = ANNOUNCE_MAX_US;
	control->drain_announce_us = announce_us;
	control->drain_limit_us = stop_us - STOP_MARGIN_US - announce_us;
	if (control->drain_limit_us < 0)
		control->drain_limit_us = 0;
}

/// Applies the bounds that the deployment sets, which override the settings
/// derived from them.
static void
resolve_bounds(const struct proxy_settings *s, struct control_settings *control,
    struct ingress_settings *ingress)
{
	int64_t lease_us =
	    s->announce_ms * US_PER_MS * LEASE_PERIODS_PCT / PERCENT;

	if (lease_us > control->lease_us)
		control->lease_us = lease_us;
	if (s->drain_stop_s > 0)
		split_stop_time(
		    (int64_t)(s->drain_stop_s * (double)US_PER_S), control);
	if (s->retry_allowed > 0)
		ingress->retry_ratio_pct =
		    (uint32_t)(s->retry_allowed * RETRY_RATIO_SHARE * PERCENT);
	if (s->retry_allowed_burst > 0)
		ingress->retry_burst =
		    (uint32_t)(s->retry_allowed_burst * RETRY_BURST_SHARE);
}

/// Returns the connections of callers for each listener: the descriptors of the
/// process are shared with control, servers and other proxies, which keep half.
static int64_t
resolve_connections(const struct proxy_settings *s)
{
	int64_t listeners = s->listen_inner[0] != '\0' ? 2 : 1;
	struct rlimit limit;
	int64_t cap;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
	    limit.rlim_cur == RLIM_INFINITY)
		return s->max_connections;
	cap = (int64_t)limit.rlim_cur / 2 / listeners;
	return cap < s->max_connections ? cap : s->max_connections;
}

int
proxy_settings_resolve(const struct proxy_settings *s,
    struct control_settings *control, struct traffic_settings *traffic)
{
	struct membership_settings *m = &control->membership;
	int problems = resolve_self(s, &control->self);

	problems += check_loopback("listen.inner", s->listen_inner);
	if (!s->admin_anywhere)
		problems += check_loopback("listen.admin", s->listen_admin);
	problems += resolve_dialect(s, control, traffic);
	problems += parse_seeds(s, m);
	problems += proxy_settings_resolve_sources(s, control);
	problems += proxy_settings_resolve_backend(s, control);
	problems += parse_addresses("ledgers", &s->ledgers, traffic->ledgers,
	    ONCE_MAX_REPLICAS, &traffic->ledger_count);
	address_parse(s->listen_control, &control->control);
	control->has_ready = s->listen_ready[0] != '\0';
	address_parse(s->listen_ready, &control->ready);
	control->lease_us = s->lease_ms * US_PER_MS;
	address_parse(s->listen_admin, &control->admin);
	address_parse(s->listen_outer, &traffic->ingress.outer);
	traffic->ingress.has_inner = s->listen_inner[0] != '\0';
	address_parse(s->listen_inner, &traffic->ingress.inner);
	address_parse(s->listen_peer, &traffic->peer);
	control->advertised_peer_port = (uint32_t)s->advertised_peer_port;
	m->probe_period_us = s->gossip_probe_ms * US_PER_MS;
	m->ack_timeout_us = s->gossip_ack_timeout_ms * US_PER_MS;
	m->notice_period_us = s->gossip_notice_ms * US_PER_MS;
	m->sync_period_us = s->gossip_sync_ms * US_PER_MS;
	m->retry_dead_period_us = s->gossip_retry_dead_ms * US_PER_MS;
	m->forget_us = s->gossip_forget_ms * US_PER_MS;
	m->suspicion_periods = (uint32_t)s->gossip_suspicion_periods;
	control->report_period_us = s->report_ms * US_PER_MS;
	control->drain_announce_us = s->drain_announce_ms * US_PER_MS;
	control->drain_limit_us = s->drain_limit_ms * US_PER_MS;
	control->seed =
	    control->self.incarnation ^ XXH3_64bits(s->name, strlen(s->name));
	memcpy(traffic->ingress.name, control->self.name,
	    sizeof(traffic->ingress.name));
	memcpy(traffic->ingress.service, control->service,
	    sizeof(traffic->ingress.service));
	traffic->ingress.incarnation = control->self.incarnation;
	traffic->ingress.max_body_bytes = s->max_body_bytes;
	traffic->ingress.max_connections = resolve_connections(s);
	traffic->ingress.retry_ratio_pct = (uint32_t)s->retry_ratio_pct;
	traffic->ingress.retry_burst = (uint32_t)s->retry_burst;
	traffic->ingress.slow_start_us = s->warm_ms * US_PER_MS;
	traffic->ingress.seed = control->seed + 1;
	traffic->ingress.quota = traffic->peer;
	traffic->egress.max_queued = (uint32_t)s->max_queued;
	traffic->egress.max_queued_bytes = (uint32_t)s->max_queued_bytes;
	traffic->memory_bytes = s->memory_mb * BYTES_PER_MB;
	traffic->link_mbps = s->link_mbps;
	control->link_mbps = s->link_mbps;
	resolve_bounds(s, control, &traffic->ingress);
	traffic->stop_time_us =
	    control->drain_announce_us + control->drain_limit_us;
	return problems == 0 ? 0 : -1;
}
