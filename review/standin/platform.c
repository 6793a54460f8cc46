#include "world.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_client.h"
#include "net/http_server.h"
#include "../../tests/soak/soak.h"
#include "zinniarack/clock.h"
#include "zinniarack/errors.h"

#define TICK_MS 5
#define START_TIMEOUT_MS 15000
#define CALL_TIMEOUT_MS 3000
#define RESTART_MS 500
/* A case takes 120 s at most. */
#define CASE_MS_MAX 115000
#define FIRST_PORT 21000
#define LAST_PORT 26900
#define PORT_SLOT 100
#define PORT_SLOTS 50
/* Offsets of the ports: store, then 4 for each host, then the workers. */
#define HOST_PORTS 10
#define WORKER_PORTS 40
#define PORT_COUNT (WORKER_PORTS + WORLD_WORKERS)
#define HOST_NAME "entry-%d"

struct host {
	uv_process_t process;
	bool is_running;
	bool is_frozen;
	int64_t start_at; /* 0: it is not to be started */
	struct zr_http_client *client;
};

static struct host hosts[WORLD_HOSTS_MAX];
static int host_count;
static int base_port;
static char work_dir[512];
static char program[512];
static FILE *record;
static int64_t began_at;
static int crashes;
static uv_timer_t tick_timer;
static uv_timer_t end_timer;
static uv_signal_t end_signal;

int64_t soak_now_ms(void)
{
	return zr_time_to_ms(zr_clock_now(zr_clock_system()));
}

int64_t world_now_ms(void)
{
	return soak_now_ms();
}

void soak_reply(struct zr_http_exchange *exchange, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	zr_http_reply(exchange, status, "application/json", text, strlen(text));
	free(text);
	json_decref(body);
}

void world_record(const char *format, ...)
{
	va_list args;

	fprintf(record, "%7" PRId64 " ", world_now_ms() - began_at);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
}

/* The adviser: every worker may run every step. */
static void serve_advice(void *ctx, struct zr_http_exchange *exchange)
{
	size_t length;
	const char *text = zr_http_get_body(exchange, &length);
	json_t *request = json_loadb(text ? text : "", length, 0, NULL);
	json_t *good = json_array();
	json_t *worker;
	size_t i;

	(void)ctx;
	json_array_foreach (json_object_get(request, "workers"), i, worker)
		json_array_append_new(good, json_pack("[s, s]",
						      json_string_value(worker),
						      "c81e-7a21d94b"));
	soak_reply(exchange, 200,
		   json_pack("{s:o, s:i}", "good", good, "validity_ms", 2500));
	json_decref(request);
}

/* Hosts */

static void print_settings(FILE *file, int host)
{
	static const char *const zones[] = {"north", "south", "west"};
	int port = base_port + HOST_PORTS + 4 * host;

	fprintf(file,
		"name: " HOST_NAME "\ncell: main\nfailure_domain: %s\n"
		"store: 127.0.0.1:%d\nadviser: 127.0.0.1:%d\nlisten:\n  "
		"callers: 127.0.0.1:%d\n"
		"  readiness: 127.0.0.1:%d\n  peers: 127.0.0.1:%d\n"
		"  metrics: 127.0.0.1:%d\nprocessors: 0.25\n"
		"lease_max_ms: 6000\nworker_speed:\n  enabled: true\nlog:\n"
		"  level: info\ndepartures:\n  move_runs: true\n",
		host, zones[host % 3], base_port, base_port + 1, port, port + 1,
		port + 2, port + 3);
}

static int write_settings(int host)
{
	char path[600];
	FILE *file;

	snprintf(path, sizeof(path), "%s/host-%d.yaml", work_dir, host);
	file = fopen(path, "w");
	if (!file)
		return -1;
	snprintf(path, sizeof(path), "%s/host-%d.log", work_dir, host);
	unlink(path);
	print_settings(file, host);
	return fclose(file);
}

static void on_host_exit(uv_process_t *process, int64_t status, int term_signal)
{
	struct host *host = process->data;

	world_record("host %d ended status=%" PRId64 " signal=%d",
		     (int)(host - hosts), status, term_signal);
	host->is_running = false;
	crashes += !host->start_at;
	if (!host->start_at)
		host->start_at = world_now_ms() + RESTART_MS;
	uv_close((uv_handle_t *)process, NULL);
}

static void start_host(int index)
{
	struct host *host = &hosts[index];
	char settings[600];
	char log[600];
	char *args[] = {program, settings, NULL};
	uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE}};
	uv_process_options_t process_options = {
		.exit_cb = on_host_exit,
		.file = program,
		.args = args,
		.stdio_count = 3,
		.stdio = stdio,
	};
	FILE *file;

	snprintf(settings, sizeof(settings), "%s/host-%d.yaml", work_dir,
		 index);
	snprintf(log, sizeof(log), "%s/host-%d.log", work_dir, index);
	file = fopen(log, "a");
	if (!file)
		abort();
	stdio[1].flags = UV_INHERIT_FD;
	stdio[1].data.fd = fileno(file);
	stdio[2] = stdio[1];
	host->start_at = 0;
	memset(&host->process, 0, sizeof(host->process));
	host->process.data = host;
	host->is_running =
		!uv_spawn(uv_default_loop(), &host->process, &process_options);
	fclose(file);
	world_record("host %d started", index);
}

static void tick_host(int index)
{
	const struct host *host = &hosts[index];

	if (!host->is_running && host->start_at &&
	    world_now_ms() >= host->start_at)
		start_host(index);
}

void world_pause_host(int index)
{
	world_record("host %d is frozen", index);
	hosts[index].is_frozen = true;
	uv_process_kill(&hosts[index].process, SIGSTOP);
}

void world_resume_host(int index)
{
	hosts[index].is_frozen = false;
	uv_process_kill(&hosts[index].process, SIGCONT);
	world_record("host %d goes on", index);
}

int world_hosts(void)
{
	return host_count;
}

bool world_host_runs(int index)
{
	return hosts[index].is_running && !hosts[index].is_frozen;
}

int world_crashes(void)
{
	return crashes;
}

void world_kill_host(int index, int64_t down_ms)
{
	world_record("host %d is killed", index);
	hosts[index].start_at = world_now_ms() + down_ms;
	uv_process_kill(&hosts[index].process, SIGKILL);
}

int world_owner(void)
{
	char path[600];
	char line[1024];
	long best_epoch = -1;
	int owner = -1;
	int i;

	/* Each host logs its terms; the latest epoch is the owner's. */
	for (i = 0; i < host_count; i++) {
		FILE *file;

		snprintf(path, sizeof(path), "%s/host-%d.log", work_dir, i);
		file = fopen(path, "r");
		while (file && fgets(line, sizeof(line), file)) {
			const char *at = strstr(line, "domain.gained");
			const char *epoch = at ? strstr(at, "epoch=") : NULL;

			if (!epoch || atol(epoch + 6) < best_epoch)
				continue;
			best_epoch = atol(epoch + 6);
			owner = i;
		}
		if (file)
			fclose(file);
	}
	return owner;
}

/* Event loop */

static void on_tick(uv_timer_t *timer)
{
	int i;

	(void)timer;
	soak_store_tick();
	workers_tick();
	for (i = 0; i < host_count; i++)
		tick_host(i);
}

void world_run(int64_t ms)
{
	int64_t until = world_now_ms() + ms;

	while (world_now_ms() < until)
		uv_run(uv_default_loop(), UV_RUN_ONCE);
}

/* Clients and the operator */

struct call {
	bool done;
	int status;
	char *out;
};

static void on_response(void *ctx, int error,
			const struct zr_http_response *response)
{
	struct call *call = ctx;

	call->done = true;
	call->status = error < 0 ? 0 : response->status;
	if (call->out && response)
		snprintf(call->out, WORLD_TEXT_MAX, "%.*s",
			 (int)response->body_length, response->body);
}

static void on_posted(void *ctx, int error,
		      const struct zr_http_response *response)
{
	char *path = ctx;

	world_record("post %s status=%d", path,
		     error < 0 ? 0 : response->status);
	free(path);
}

void world_post(int host, const char *path, const char *key, json_t *body)
{
	char bearer[WORLD_TEXT_MAX];
	const struct zr_http_header_field header = {"Authorization", bearer};
	char *text = json_dumps(body, JSON_COMPACT);
	const struct zr_http_call http_call = {
		.method = "POST",
		.path = path,
		.headers = &header,
		.header_count = 1,
		.content_type = "application/json",
		.body = text,
		.body_length = strlen(text),
		.timeout_ms = CALL_TIMEOUT_MS,
	};

	snprintf(bearer, sizeof(bearer), "Bearer %s", key);
	zr_http_client_call(hosts[host].client, &http_call, on_posted,
			    strdup(path));
	free(text);
	json_decref(body);
}

int world_call(int host, const char *method, const char *path, const char *key,
	       json_t *body, char out[WORLD_TEXT_MAX])
{
	char bearer[WORLD_TEXT_MAX];
	const struct zr_http_header_field headers[] = {
		{"Authorization", bearer},
		{"X-Request-Deadline", "3000"},
	};
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	const struct zr_http_call http_call = {
		.method = method,
		.path = path,
		.headers = headers,
		.header_count = 2,
		.content_type = text ? "application/json" : NULL,
		.body = text,
		.body_length = text ? strlen(text) : 0,
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	struct call call = {.out = out};

	if (out)
		out[0] = '\0';
	snprintf(bearer, sizeof(bearer), "Bearer %s", key);
	zr_http_client_call(hosts[host].client, &http_call, on_response, &call);
	while (!call.done)
		uv_run(uv_default_loop(), UV_RUN_ONCE);
	world_record("call host=%d %s %s key=%.8s.. status=%d %s", host, method,
		     path, key, call.status, out ? out : "");
	free(text);
	json_decref(body);
	return call.status;
}

void world_put_config(json_t *config)
{
	world_record("the operator writes version %" JSON_INTEGER_FORMAT,
		     json_integer_value(json_object_get(config, "version")));
	soak_store_put("op/config", config);
}

/* Start */

static bool is_free(int port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int reuse = 1;
	bool free_port =
		!setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse,
			    sizeof(reuse)) &&
		!bind(fd, (struct sockaddr *)&address, sizeof(address));

	close(fd);
	return free_port;
}

static int find_ports(void)
{
	int port = FIRST_PORT + getpid() % PORT_SLOTS * PORT_SLOT;
	int i;

	for (; port < LAST_PORT; port += PORT_SLOT) {
		for (i = 0; i < PORT_COUNT && is_free(port + i); i++)
			;
		if (i == PORT_COUNT)
			return port;
	}
	return -1;
}

static int open_clients(void)
{
	char address[64];
	int error = 0;
	int i;

	for (i = 0; i < host_count && !error; i++) {
		snprintf(address, sizeof(address), "127.0.0.1:%d",
			 base_port + HOST_PORTS + 4 * i);
		error = zr_http_client_new(&hosts[i].client, uv_default_loop(),
					   address, NULL);
	}
	return error;
}

static bool all_serve(void)
{
	int i;

	for (i = 0; i < host_count; i++) {
		if (world_call(i, "GET", "/q/", "key-1", NULL, NULL) != 200)
			return false;
	}
	return true;
}

static void kill_hosts(void)
{
	int i;

	for (i = 0; i < host_count; i++) {
		hosts[i].start_at = INT64_MAX;
		if (hosts[i].is_running)
			uv_process_kill(&hosts[i].process, SIGKILL);
	}
}

static void on_overtime(uv_timer_t *timer)
{
	(void)timer;
	world_record("the case takes too long");
	kill_hosts();
	exit(2);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	(void)handle;
	(void)signum;
	kill_hosts();
	exit(2);
}

int world_begin(const struct world_options *options, json_t *config,
		const char *dir, const char *celld)
{
	struct zr_http_server_options store_options =
		ZR_HTTP_SERVER_OPTIONS_INIT;
	struct zr_http_server *store;
	struct zr_http_server *adviser;
	char adviser_address[64];
	char path[600];
	char address[64];
	int64_t deadline;
	int i;

	signal(SIGPIPE, SIG_IGN);
	snprintf(work_dir, sizeof(work_dir), "%s", dir);
	snprintf(program, sizeof(program), "%s", celld);
	snprintf(path, sizeof(path), "%s/record.txt", dir);
	record = fopen(path, "w");
	began_at = world_now_ms();
	host_count = options->hosts;
	base_port = find_ports();
	if (!record || base_port < 0)
		return -1;
	world_put_config(config);
	store_options.max_body_bytes = 64 << 20;
	store_options.max_connections = 4096;
	snprintf(address, sizeof(address), "127.0.0.1:%d", base_port);
	snprintf(adviser_address, sizeof(adviser_address), "127.0.0.1:%d",
		 base_port + 1);
	if (zr_http_server_new(&adviser, uv_default_loop(), adviser_address,
			       &store_options, serve_advice, NULL) < 0 ||
	    zr_http_server_new(&store, uv_default_loop(), address,
			       &store_options, soak_store_serve, NULL) < 0 ||
	    workers_begin(options, base_port + WORKER_PORTS) < 0 ||
	    open_clients() < 0)
		return -1;
	uv_timer_init(uv_default_loop(), &end_timer);
	uv_timer_start(&end_timer, on_overtime, CASE_MS_MAX, 0);
	uv_signal_init(uv_default_loop(), &end_signal);
	uv_signal_start(&end_signal, on_signal, SIGTERM);
	uv_timer_init(uv_default_loop(), &tick_timer);
	uv_timer_start(&tick_timer, on_tick, TICK_MS, TICK_MS);
	for (i = 0; i < host_count; i++) {
		if (write_settings(i))
			return -1;
		start_host(i);
	}
	deadline = world_now_ms() + START_TIMEOUT_MS;
	while (!all_serve()) {
		if (world_now_ms() > deadline)
			return -1;
		world_run(200);
	}
	/* The workers' registry has been read. */
	world_run(1000);
	return 0;
}

void world_end(void)
{
	kill_hosts();
	world_run(300);
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	int result;

	if (argc != 4) {
		fprintf(stderr, "usage: review-world CASE FOLDER PROGRAM\n");
		return 2;
	}
	result = case_run(argv[1], !trouble || strcmp(trouble, "0"), argv[2],
			  argv[3]);
	return result;
}
