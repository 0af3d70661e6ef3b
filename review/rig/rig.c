// Runs the project's programs on loopback, with stand-ins around them.
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

#define PORT_APP      8301
#define PORT_READY    8302
#define PORT_OUTBOUND 8304
#define PORT_CONTROL  8306
#define PORT_INTERNAL 7620
#define PORT_GOSSIP   7635

static char net[24];
static char folder[512];
static char temporary[64];
static FILE *record;
static int proxy_count;
static const char *const *proxy_services;
static pid_t source_pids[RIG_SOURCES + 1];
static pid_t proxy_pids[RIG_MAX_PROXIES + 1];
static int64_t opened_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
clock_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

int64_t
rig_now_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC) - opened_ms;
}

void
rig_sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, (ms % 1000) * 1000000};

	if (ms > 0)
		nanosleep(&ts, NULL);
}

void
rig_sleep_until(int64_t at_ms)
{
	rig_sleep_ms(at_ms - rig_now_ms());
}

bool
rig_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return text == NULL || strcmp(text, "0") != 0;
}

void
rig_record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%9.3f ", (double)rig_now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

void
rig_end(int code)
{
	char command[128];
	int i;

	rig_record("exit %d: %s", code,
	    code == RIG_HELD	     ? "the rule held"
		: code == RIG_BROKEN ? "the rule was broken"
				     : "the case could not run");
	for (i = 1; i <= RIG_SOURCES; i++)
		if (source_pids[i] > 0) {
			kill(source_pids[i], SIGKILL);
			waitpid(source_pids[i], NULL, 0);
		}
	for (i = 1; i <= proxy_count; i++)
		if (proxy_pids[i] > 0) {
			kill(proxy_pids[i], SIGKILL);
			waitpid(proxy_pids[i], NULL, 0);
		}
	if (getenv("RIG_KEEP") == NULL) {
		snprintf(command, sizeof(command), "rm -rf %s", temporary);
		if (system(command) != 0)
			code = code == RIG_HELD ? RIG_CANT_RUN : code;
	}
	fclose(record);
	fflush(NULL);
	_exit(code);
}

static void
fill_address(struct sockaddr_in *to, const char *host, int port)
{
	memset(to, 0, sizeof(*to));
	to->sin_family = AF_INET;
	to->sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &to->sin_addr);
}

static bool
is_free(const char *host, int port)
{
	struct sockaddr_in at;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool free_port;

	fill_address(&at, host, port);
	free_port = bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0;
	close(fd);
	return free_port;
}

const char *
rig_proxy_host(int node)
{
	static __thread char text[4][48];
	static __thread int next;
	char *out = text[next++ % 4];

	snprintf(out, sizeof(text[0]), "%s.%d", net, node);
	return out;
}

const char *
rig_source_host(int node)
{
	return rig_proxy_host(200 + node);
}

static bool
net_is_free(void)
{
	static const int ports[] = {PORT_APP, PORT_READY, PORT_OUTBOUND,
	    PORT_CONTROL, PORT_INTERNAL, PORT_GOSSIP};
	size_t p;
	int i;

	for (i = 1; i <= RIG_MAX_PROXIES; i++)
		for (p = 0; p < sizeof(ports) / sizeof(ports[0]); p++)
			if (!is_free(rig_proxy_host(i), ports[p]) ||
			    !is_free(rig_source_host(i), ports[p]))
				return false;
	return true;
}

void
rig_open(const char *case_folder, int proxies, const char *const *services)
{
	char path[600];
	int tries;

	signal(SIGPIPE, SIG_IGN);
	opened_ms = clock_ms(CLOCK_MONOTONIC);
	snprintf(folder, sizeof(folder), "%s", case_folder);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record = fopen(path, "w");
	if (record == NULL) {
		fprintf(stderr, "cannot write %s\n", path);
		exit(RIG_CANT_RUN);
	}
	proxy_count = proxies;
	proxy_services = services;
	srandom((unsigned)(getpid() ^ clock_ms(CLOCK_REALTIME)));
	for (tries = 0; tries < 50; tries++) {
		snprintf(net, sizeof(net), "127.%ld.%ld", 16 + random() % 200,
		    1 + random() % 250);
		if (net_is_free())
			break;
	}
	snprintf(temporary, sizeof(temporary), "%s", "/tmp/review.XXXXXX");
	if (tries == 50 || mkdtemp(temporary) == NULL)
		rig_end(RIG_CANT_RUN);
	rig_record("net %s.0, trouble %d", net, rig_trouble());
}

static pid_t
start_program(const char *program, const char *name, const char *settings)
{
	char path[160];
	char log[160];
	pid_t pid;
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s.json", temporary, name);
	snprintf(log, sizeof(log), "%s/%s.log", temporary, name);
	f = fopen(path, "w");
	if (f == NULL || fputs(settings, f) == EOF || fclose(f) != 0)
		rig_end(RIG_CANT_RUN);
	pid = fork();
	if (pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (freopen(log, "a", stdout) == NULL ||
		    dup2(fileno(stdout), 2) < 0)
			_exit(127);
		execl(program, program, path, (char *)NULL);
		_exit(127);
	}
	if (pid < 0)
		rig_end(RIG_CANT_RUN);
	return pid;
}

static void
list_seeds(char *out, size_t out_bytes)
{
	snprintf(out, out_bytes, "\"%s:%d\",\"%s:%d\",\"%s:%d\"",
	    rig_source_host(1), PORT_CONTROL, rig_source_host(2), PORT_CONTROL,
	    rig_source_host(3), PORT_CONTROL);
}

static const char *const zones[] = {
    "north-a", "central-a", "south-a", "north-b", "central-b", "south-b"};
static const char *const regions[] = {"north", "central", "south"};

/// As deploy/source.json gives it.
void
rig_start_source(int node, bool first_start)
{
	char seeds[200];
	char name[32];
	char text[2048];

	list_seeds(seeds, sizeof(seeds));
	snprintf(name, sizeof(name), "source-%d", node);
	snprintf(text, sizeof(text),
	    "{\"dialect\":\"platform\",\"log\":{\"json\":true},"
	    "\"region\":\"%s\",\"dc\":\"%s\",\"host\":\"%s\","
	    "\"data_path\":\"%s/%s.data\",\"cluster\":\"mesh\","
	    "\"seeds\":[%s],\"seed_port\":%d,\"tolerated\":2,"
	    "\"tolerated_dcs\":0,\"tolerated_regions\":0,"
	    "\"first_start\":%s,\"election_ms\":750,\"heartbeat_ms\":250,"
	    "\"listen\":{\"control\":\"%s:%d\",\"operators\":\"%s:%d\"}}",
	    regions[(node - 1) % 3], zones[(node - 1) % 6],
	    rig_source_host(node), temporary, name, seeds, PORT_INTERNAL,
	    first_start ? "true" : "false", rig_source_host(node),
	    PORT_INTERNAL, rig_source_host(node), PORT_CONTROL);
	source_pids[node] = start_program("target/bin/mvsource", name, text);
}

/// As deploy/proxy.json gives it.
void
rig_start_proxy(int node)
{
	char seeds[200];
	char name[32];
	char text[2048];
	const char *host = rig_proxy_host(node);

	list_seeds(seeds, sizeof(seeds));
	snprintf(name, sizeof(name), "sidecar-%d", node);
	snprintf(text, sizeof(text),
	    "{\"dialect\":\"platform\",\"log\":{\"json\":true},"
	    "\"name\":\"%s\",\"region\":\"%s\",\"dc\":\"%s\",\"host\":\"%s\","
	    "\"service\":\"%s\",\"listen\":{\"outer\":\"%s:%d\","
	    "\"peer\":\"%s:%d\",\"control\":\"%s:%d\",\"admin\":\"%s:%d\","
	    "\"ready\":\"%s:%d\"},\"admin_anywhere\":true,\"sources\":[%s],"
	    "\"source_port\":%d,\"report_ms\":1500,"
	    "\"gossip\":{\"probe_ms\":500,\"sync_ms\":5000,"
	    "\"retry_dead_ms\":2000},\"announce_ms\":%d,"
	    "\"drain\":{\"stop_s\":6},\"retry\":{\"allowed_burst\":56,"
	    "\"allowed\":0.2},\"limits\":{\"link_mbps\":1000.0},"
	    "\"warm_ms\":3000}",
	    name, regions[(node - 1) % 3], zones[(node - 1) % 6], host,
	    proxy_services[node - 1], host, PORT_OUTBOUND, host, PORT_INTERNAL,
	    host, PORT_GOSSIP, host, PORT_CONTROL, host, PORT_READY, seeds,
	    PORT_INTERNAL, RIG_HEARTBEAT_MS);
	proxy_pids[node] = start_program("target/bin/mvproxy", name, text);
}

void
rig_signal_proxy(int node, int number)
{
	rig_record("signal %d to proxy %d", number, node);
	kill(proxy_pids[node], number);
}

void
rig_kill_proxy(int node)
{
	rig_signal_proxy(node, SIGKILL);
	waitpid(proxy_pids[node], NULL, 0);
	proxy_pids[node] = 0;
}

bool
rig_proxy_is_running(int node)
{
	return waitpid(proxy_pids[node], NULL, WNOHANG) == 0;
}

static int
connect_to(const char *host, int port, int window_bytes)
{
	struct sockaddr_in to;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (window_bytes > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes,
		    sizeof(window_bytes));
	fill_address(&to, host, port);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

int
rig_connect(const char *host, int port)
{
	return connect_to(host, port, 0);
}

int
rig_connect_client(int node, int window_bytes)
{
	return connect_to(rig_proxy_host(node), PORT_OUTBOUND, window_bytes);
}

bool
rig_write(int fd, const void *bytes, size_t size_bytes)
{
	const char *at = bytes;

	while (size_bytes > 0) {
		ssize_t n = send(fd, at, size_bytes, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		at += n;
		size_bytes -= (size_t)n;
	}
	return true;
}

void
rig_close_reset(int fd)
{
	struct linger linger = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/// Reads up to the empty line, a byte at a time, so that the body stays unread.
static ssize_t
read_head(int fd, char *out, size_t out_bytes, int timeout_ms)
{
	int64_t until_ms = rig_now_ms() + timeout_ms;
	size_t n = 0;

	while (n + 1 < out_bytes) {
		struct pollfd p = {fd, POLLIN, 0};
		int64_t left_ms = until_ms - rig_now_ms();

		if (left_ms <= 0 || poll(&p, 1, (int)left_ms) <= 0 ||
		    recv(fd, out + n, 1, 0) != 1)
			return -1;
		out[++n] = '\0';
		if (n >= 4 && memcmp(out + n - 4, "\r\n\r\n", 4) == 0)
			return (ssize_t)n;
	}
	return -1;
}

static bool
find_header(const char *head, const char *name, char *out, size_t out_bytes)
{
	const char *at = head;
	size_t n = strlen(name);

	out[0] = '\0';
	while ((at = strstr(at, "\r\n")) != NULL) {
		at += 2;
		if (strncasecmp(at, name, n) != 0 || at[n] != ':')
			continue;
		at += n + 1;
		while (*at == ' ')
			at++;
		snprintf(out, out_bytes, "%.*s", (int)strcspn(at, "\r\n"), at);
		return true;
	}
	return false;
}

static bool
read_exactly(int fd, char *out, size_t size_bytes, int64_t until_ms)
{
	while (size_bytes > 0) {
		struct pollfd p = {fd, POLLIN, 0};
		int64_t left_ms = until_ms - rig_now_ms();
		char drop[65536];
		size_t want = out == NULL && size_bytes > sizeof(drop)
		    ? sizeof(drop)
		    : size_bytes;
		ssize_t n;

		if (left_ms <= 0 || poll(&p, 1, (int)left_ms) <= 0)
			return false;
		n = recv(fd, out == NULL ? drop : out, want, 0);
		if (n <= 0)
			return false;
		if (out != NULL)
			out += n;
		size_bytes -= (size_t)n;
	}
	return true;
}

static int64_t
read_chunks(int fd, int64_t until_ms)
{
	int64_t total = 0;

	for (;;) {
		char line[32] = "";
		size_t n = 0;
		long size;

		do {
			if (n + 1 >= sizeof(line) ||
			    !read_exactly(fd, line + n, 1, until_ms))
				return -1;
			line[++n] = '\0';
		} while (strstr(line, "\r\n") == NULL);
		size = strtol(line, NULL, 16);
		if (!read_exactly(fd, NULL, (size_t)size, until_ms) ||
		    !read_exactly(fd, NULL, 2, until_ms))
			return -1;
		if (size == 0)
			return total;
		total += size;
	}
}

int64_t
rig_read_body(int fd, int64_t length)
{
	int64_t until_ms = rig_now_ms() + 20000;

	if (length < 0)
		return read_chunks(fd, until_ms);
	return read_exactly(fd, NULL, (size_t)length, until_ms) ? length : -1;
}

void
rig_read_answer(int fd, struct rig_answer *a, int timeout_ms)
{
	int64_t until_ms = rig_now_ms() + timeout_ms;
	char head[65536];
	char text[64];
	size_t kept;

	memset(a, 0, sizeof(*a));
	if (read_head(fd, head, sizeof(head), timeout_ms) < 0 ||
	    sscanf(head, "HTTP/1.%*d %d", &a->status) != 1)
		return;
	a->signature = find_header(
	    head, "X-Magnoliavalve-Response-Signature", text, sizeof(text));
	find_header(head, "X-Magnoliavalve-Attempt-Id", a->id, sizeof(a->id));
	if (find_header(head, "Content-Length", text, sizeof(text))) {
		a->body_bytes = (size_t)strtoull(text, NULL, 10);
		kept = a->body_bytes < sizeof(a->body) ? a->body_bytes
						       : sizeof(a->body);
		a->complete = read_exactly(fd, a->body, kept, until_ms) &&
		    read_exactly(fd, NULL, a->body_bytes - kept, until_ms);
		return;
	}
	if (find_header(head, "Transfer-Encoding", text, sizeof(text))) {
		int64_t n = read_chunks(fd, until_ms);

		a->complete = n >= 0;
		a->body_bytes = n >= 0 ? (size_t)n : 0;
	}
}

void
rig_call(int node, const char *method, const char *host, const char *path,
    const char *id, int deadline_ms, const char *body, size_t body_bytes,
    struct rig_answer *answer)
{
	char head[1024];
	int fd = rig_connect(rig_proxy_host(node), PORT_OUTBOUND);

	memset(answer, 0, sizeof(*answer));
	if (fd < 0)
		return;
	snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nX-Magnoliavalve-Attempt-Id: %s\r\n"
	    "X-Magnoliavalve-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n",
	    method, path, host, id, deadline_ms, body_bytes);
	if (rig_write(fd, head, strlen(head)) &&
	    (body_bytes == 0 || rig_write(fd, body, body_bytes)))
		rig_read_answer(fd, answer, deadline_ms + 1500);
	close(fd);
}

static int
call_api(const char *host, const char *method, const char *path,
    const char *body, int timeout_ms)
{
	static __thread struct rig_answer answer;
	char head[512];
	int fd = rig_connect(host, PORT_CONTROL);

	if (fd < 0)
		return 0;
	snprintf(head, sizeof(head),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    method, path, host, strlen(body));
	answer.status = 0;
	if (rig_write(fd, head, strlen(head)) &&
	    rig_write(fd, body, strlen(body)))
		rig_read_answer(fd, &answer, timeout_ms);
	close(fd);
	return answer.status;
}

int
rig_call_control(int node, const char *path, const char *body)
{
	return call_api(rig_proxy_host(node), "POST", path, body, 1000);
}

int
rig_replace_config(const char *config)
{
	int status = 0;
	int i;

	for (i = 0; i < 60; i++) {
		status = call_api(rig_source_host(1 + i % RIG_SOURCES), "POST",
		    "/api/config/replace", config, 4000);
		if (status >= 200 && status < 500 && status != 408 &&
		    status != 429)
			return status;
		rig_sleep_ms(200);
	}
	return status;
}

void
rig_await_ready(int node)
{
	static struct rig_answer answer;
	static const char get[] = "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n";
	int i;

	for (i = 0; i < 200; i++) {
		int fd = rig_connect(rig_proxy_host(node), PORT_READY);

		answer.status = 0;
		if (fd >= 0 && rig_write(fd, get, strlen(get)))
			rig_read_answer(fd, &answer, 1000);
		if (fd >= 0)
			close(fd);
		if (answer.status == 200) {
			rig_record("proxy %d is ready", node);
			return;
		}
		rig_sleep_ms(100);
	}
	rig_record("proxy %d does not become ready", node);
	rig_end(RIG_CANT_RUN);
}

void
rig_start_all(const char *config)
{
	int status;
	int i;

	for (i = 1; i <= RIG_SOURCES; i++)
		rig_start_source(i, true);
	for (i = 1; i <= proxy_count; i++)
		rig_start_proxy(i);
	rig_sleep_ms(500);
	status = rig_replace_config(config);
	rig_record("first configuration: %d", status);
	if (status != 200)
		rig_end(RIG_CANT_RUN);
	for (i = 1; i <= proxy_count; i++)
		rig_await_ready(i);
}

int
rig_beat(struct rig_server *s, int sequence, const char *state)
{
	char path[128];
	char body[512];

	snprintf(path, sizeof(path), "/api/instances/%s/heartbeat", s->id);
	snprintf(body, sizeof(body),
	    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
	    "\"version\":\"v1\",\"slots\":18,\"state\":\"%s\","
	    "\"coldRemainingMs\":0,\"sequence\":%d,\"born\":%llu}",
	    s->service, rig_proxy_host(s->node), PORT_APP,
	    zones[(s->node - 1) % 6], state, sequence,
	    (unsigned long long)s->born_ms);
	return rig_call_control(s->node, path, body);
}

int
rig_deregister(struct rig_server *s)
{
	char path[128];
	char body[128];

	snprintf(path, sizeof(path), "/api/instances/%s/deregister", s->id);
	snprintf(body, sizeof(body), "{\"sequence\":%d,\"born\":%llu}",
	    ++s->sequence, (unsigned long long)s->born_ms);
	return rig_call_control(s->node, path, body);
}

static void *
beat_loop(void *arg)
{
	struct rig_server *s = arg;

	while (!s->stopped) {
		if (s->beating)
			rig_beat(s, ++s->sequence, "ready");
		rig_sleep_ms(RIG_HEARTBEAT_MS);
	}
	return NULL;
}

struct conn {
	struct rig_server *server;
	int fd;
};

static void *
conn_loop(void *arg)
{
	struct conn c = *(struct conn *)arg;
	struct rig_request *r = calloc(1, sizeof(*r));
	char text[64];
	int nth = 0;

	free(arg);
	while (!c.server->stopped) {
		ssize_t n = read_head(c.fd, r->head, sizeof(r->head), 10000);

		if (n < 0)
			break;
		r->head_bytes = (size_t)n;
		if (sscanf(r->head, "%15s %511s", r->method, r->target) != 2)
			break;
		find_header(r->head, "X-Magnoliavalve-Attempt-Id", r->id,
		    sizeof(r->id));
		find_header(r->head, "X-Magnoliavalve-Expected-Instance",
		    r->expected, sizeof(r->expected));
		find_header(
		    r->head, "X-Magnoliavalve-Deadline-Ms", text, sizeof(text));
		r->deadline_ms = strtoll(text, NULL, 10);
		if (find_header(
			r->head, "Transfer-Encoding", text, sizeof(text)))
			r->length = -1;
		else {
			find_header(
			    r->head, "Content-Length", text, sizeof(text));
			r->length = strtoll(text, NULL, 10);
		}
		if (!c.server->serve(c.server, c.fd, r, ++nth)) {
			free(r);
			return NULL; // The callback has closed it.
		}
	}
	free(r);
	close(c.fd);
	return NULL;
}

static void *
accept_loop(void *arg)
{
	struct rig_server *s = arg;

	while (!s->stopped) {
		struct pollfd p = {s->listen_fd, POLLIN, 0};
		pthread_t thread;
		struct conn *c;
		int fd;

		if (poll(&p, 1, 50) <= 0)
			continue;
		fd = accept(s->listen_fd, NULL, NULL);
		if (fd < 0)
			continue;
		c = malloc(sizeof(*c));
		c->server = s;
		c->fd = fd;
		pthread_create(&thread, NULL, conn_loop, c);
		pthread_detach(thread);
	}
	close(s->listen_fd);
	return NULL;
}

void
rig_start_server(struct rig_server *s)
{
	struct sockaddr_in at;
	pthread_t thread;
	int one = 1;

	s->born_ms = (uint64_t)clock_ms(CLOCK_REALTIME);
	s->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(s->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	fill_address(&at, rig_proxy_host(s->node), PORT_APP);
	if (bind(s->listen_fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(s->listen_fd, 100) != 0)
		rig_end(RIG_CANT_RUN);
	s->listening = s->beating = true;
	pthread_create(&thread, NULL, accept_loop, s);
	pthread_detach(thread);
	pthread_create(&thread, NULL, beat_loop, s);
	pthread_detach(thread);
}
