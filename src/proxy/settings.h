/// @file
/// Settings of mvproxy.
#ifndef MV_PROXY_SETTINGS_H
#define MV_PROXY_SETTINGS_H

#include "io/program.h"
#include "proxy/control/control.h"

struct proxy_settings {
	struct program_log_settings log;
	char name[SETTINGS_TEXT_BYTES];
	char dialect[SETTINGS_TEXT_BYTES];
	char region[SETTINGS_TEXT_BYTES];
	char dc[SETTINGS_TEXT_BYTES];
	char host[SETTINGS_TEXT_BYTES];
	char listen_outer[SETTINGS_TEXT_BYTES];
	char listen_inner[SETTINGS_TEXT_BYTES];
	char listen_peer[SETTINGS_TEXT_BYTES];
	int64_t advertised_peer_port;
	char listen_control[SETTINGS_TEXT_BYTES];
	char listen_admin[SETTINGS_TEXT_BYTES];
	char listen_ready[SETTINGS_TEXT_BYTES];
	bool admin_anywhere;
	char service[SETTINGS_TEXT_BYTES];
	char backend[SETTINGS_TEXT_BYTES];
	int64_t lease_ms;
	int64_t announce_ms;
	int64_t source_port;
	char bound_path[SETTINGS_TEXT_BYTES];
	struct settings_list seeds;
	struct settings_list sources;
	struct settings_list ledgers;
	int64_t gossip_probe_ms;
	int64_t gossip_ack_timeout_ms;
	int64_t gossip_notice_ms;
	int64_t gossip_sync_ms;
	int64_t gossip_retry_dead_ms;
	int64_t gossip_forget_ms;
	int64_t gossip_suspicion_periods;
	int64_t report_ms;
	int64_t drain_announce_ms;
	int64_t drain_limit_ms;
	double drain_stop_s;
	int64_t warm_ms;
	int64_t retry_ratio_pct;
	int64_t retry_burst;
	double retry_allowed;
	double retry_allowed_burst;
	int64_t max_body_bytes;
	int64_t max_connections;
	int64_t max_queued;
	int64_t max_queued_bytes;
	int64_t memory_mb;
	double link_mbps;
};

extern const struct settings_field proxy_fields[];
extern const size_t proxy_field_count;

/// Resolves the addresses of the sources for the control thread; keeps those in
/// use if any is not valid.
///
/// @return number of problems, each with a line on standard error
int proxy_settings_resolve_sources(
    const struct proxy_settings *s, struct control_settings *control);

/// Resolves the service and the address of the backend server on this VM for the
/// control thread; keeps those in use if one is not valid.
///
/// @return number of problems, each with a line on standard error
int proxy_settings_resolve_backend(
    const struct proxy_settings *s, struct control_settings *control);

/// Resolves the settings into those of the control and traffic threads.
///
/// @return 0, or -1 with a line for each problem on standard error
int proxy_settings_resolve(const struct proxy_settings *s,
    struct control_settings *control, struct traffic_settings *traffic);

#endif
