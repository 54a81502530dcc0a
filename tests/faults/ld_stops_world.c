/* Environment of planned stops: store, configuration, relays, the verdict. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ld_stops.h"

#define TICK_MS 2
#define CLOSE_MS 200
/* Until a process handles signals, on a busy machine. */
#define START_MS 2000
/* "Not for a request that has used seven tenths of its time." */
#define CONFIG_EXCUSED_TENTHS 7

static pid_t burners[16];

/* ---- The verdict ---- */

/* The route's timeout may be the shortest that was in force. */
static uint64_t
max_time_ms(const struct stops_request *q)
{
	return q->plan.deadline_ms < STOPS_TIMEOUT_MIN_MS
	    ? q->plan.deadline_ms
	    : STOPS_TIMEOUT_MIN_MS;
}

/* "The server was still at work in the last sixth of the grace period on a
 * request that was sent no later than 3 s after the SIGTERM." */
static bool
is_excused(const struct stops *s, const struct stops_request *q, uint64_t now)
{
	const struct stops_relay *r = &s->relays[q->relay];
	uint64_t end_ms = r->term_ms + s->options.grace_ms;

	if (now >= q->started_ms + q->plan.deadline_ms)
		return true;
	/* Beside a configuration alone. */
	if (r->term_ms == 0)
		return now >=
		    q->started_ms + max_time_ms(q) * CONFIG_EXCUSED_TENTHS / 10;
	if (q->at_work == 0 && q->worked_ms < end_ms - s->options.grace_ms / 6)
		return false;
	return now >= end_ms - s->options.grace_ms / 6 &&
	    q->sent_ms <= r->term_ms + STOPS_LATE_SEND_MS;
}

void
stops_judge(struct stops *s, struct stops_request *q, const char *how)
{
	const struct stops_relay *r = &s->relays[q->relay];
	uint64_t now = stops_now(s);
	bool has_stop = r->term_ms > 0 &&
	    now <= r->term_ms + s->options.grace_ms + STOPS_AFTER_GRACE_MS;
	bool was_read = q->arrivals > 0 ||
	    (q->acked_ms > 0 && now > q->sent_ms + STOPS_SLACK_MS);

	s->cut++;
	if (!was_read || q->sent_ms == 0)
		return;
	if (is_excused(s, q, now)) {
		s->excused++;
		return;
	}
	printf(
	    "seed %llu: request %08x at relay %d ended %s, sent %lld ms "
	    "after the SIGTERM, %llu ms ago; arrivals %u, at work %u, events "
	    "%u of %u, served %d%s\n",
	    (unsigned long long)s->options.seed, q->number, q->relay, how,
	    r->term_ms > 0 ? (long long)(q->sent_ms - r->term_ms) : -1LL,
	    (unsigned long long)(now - q->sent_ms), q->arrivals, q->at_work,
	    q->next_event, q->plan.events, q->served,
	    has_stop ? "" : " (no stop)");
	s->lost++;
}

/* ---- Configuration ---- */

static void
add_route(struct ld_buf *b, const struct stops *s, const char *name,
    const char *resumable)
{
	static const char route[] =
	    "{\"name\":\"%s\",\"host\":\"h\",\"prefix\":\"/%s/\",\"type\":"
	    "\"streaming\",\"timeout_ms\":%llu,\"target_latency_ms\":9000,"
	    "\"target_gap_ms\":250,\"priority\":1,\"service\":\"llm\","
	    "\"max_attempts\":2,\"anonymous\":true,\"session_affinity\":true,"
	    "\"resumable\":%s}";

	ld_buf_printf(b, route, name, name,
	    (unsigned long long)s->bounds.timeout_ms, resumable);
}

void
stops_put_config(struct stops *s)
{
	struct ld_buf b = {0};

	ld_buf_printf(
	    &b, "{\"version\":%d,\"route_table\":[", ++s->config_version);
	add_route(&b, s, "once", "false");
	ld_buf_printf(&b, ",");
	add_route(&b, s, "resumable", "true");
	for (int i = 0; i < s->bounds.more_routes; i++) {
		char name[16];

		snprintf(name, sizeof(name), "more%d", i);
		ld_buf_printf(&b, ",");
		add_route(&b, s, name, "true");
	}
	ld_buf_printf(&b,
	    "],\"services\":[{\"name\":\"llm\",\"max_connections\":500,"
	    "\"engine\":{\"slots\":26,\"step_ms\":6.0,\"per_seq_ms\":0.1,"
	    "\"read_per_s\":56000,\"chunk\":2048,\"stride\":6,"
	    "\"usual\":{\"prompt\":1000,\"answer\":170},\"models\":[{\"name\":"
	    "\"m0\",\"size\":1,\"pace\":1.0,\"load_s\":16.0,\"warm_s\":1.6,"
	    "\"share\":1.0}]}}],\"limits\":{\"max_header_bytes\":16384,"
	    "\"max_body_bytes\":65536,\"header_timeout_ms\":%llu,"
	    "\"idle_timeout_ms\":%llu},\"tenants\":[]}",
	    (unsigned long long)s->bounds.head_ms,
	    (unsigned long long)s->bounds.idle_ms);
	ld_kv_store_put(s->store, "op/config", ld_buf_cstr(&b));
	ld_buf_free(&b);
}

/* ---- Relays ---- */

void
stops_start_relay(struct stops *s, int i)
{
	struct stops_relay *r = &s->relays[i];
	const char *argv[] = {"relay", "-c", r->settings, NULL};
	char name[16];

	snprintf(name, sizeof(name), "relay%d", i);
	if (r->proc == NULL)
		r->proc = ld_spawn(
		    &s->session, name, "lavenderdrift", r->entry, argv);
	else
		ld_respawn(&s->session, r->proc, "lavenderdrift", argv);
	r->started_ms = stops_now(s);
	r->ended_ms = 0;
}

static void
open_relay(struct stops *s, int i, uint16_t store_port)
{
	struct stops_relay *r = &s->relays[i];
	char ready[32];
	FILE *f;

	ld_address_new(&s->session, r->entry);
	ld_address_new(&s->session, ready);
	snprintf(r->settings, sizeof(r->settings), "%s/relay%d.json",
	    s->session.dir, i);
	f = fopen(r->settings, "we");
	if (f == NULL)
		abort();
	fprintf(f,
	    "{\"node\":{\"name\":\"n%d\",\"failure_domain\":\"z%d\"},"
	    "\"entry\":{\"listen\":\"%s\"},\"readiness\":{\"listen\":\"%s\"},"
	    "\"peers\":{\"port\":7340},\"metrics\":{\"port\":7341},"
	    "\"store\":{\"address\":\"127.0.0.1:%u\"},\"bounds\":{"
	    "\"grace_s\":%llu,\"repeat_ratio\":%s,\"repeat_extra\":%d}}",
	    i, i % 3, r->entry, ready, store_port,
	    (unsigned long long)s->options.grace_ms / 1000,
	    s->options.no_retries ? "0.0" : "0.2",
	    s->options.no_retries ? 0 : 132);
	fclose(f);
	stops_start_relay(s, i);
}

void
stops_term(struct stops *s, int i)
{
	struct stops_relay *r = &s->relays[i];

	r->term_ms = stops_now(s);
	ld_terminate(r->proc);
}

/* Before it handles signals, a process that starts is ended by them. */
static bool
ended_well(const struct stops_relay *r, int status)
{
	if (WIFSIGNALED(status))
		return WTERMSIG(status) == SIGTERM &&
		    r->term_ms >= r->started_ms &&
		    r->term_ms < r->started_ms + START_MS;
	return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

static void
watch_relays(struct stops *s)
{
	for (int i = 0; i < s->options.relays; i++) {
		struct stops_relay *r = &s->relays[i];
		int status = 0;

		if (r->ended_ms > 0 || !ld_ended(r->proc, &status))
			continue;
		r->ended_ms = stops_now(s);
		ld_session_expect(&s->session, r->term_ms > 0,
		    "a relay ended without a signal");
		ld_session_expect(&s->session, ended_well(r, status),
		    "a relay that was stopped did not end with status 0");
		ld_session_expect(&s->session,
		    r->ended_ms <= r->term_ms + s->options.grace_ms,
		    "a relay took longer than its grace period");
	}
}

void
stops_run_for(struct stops *s, uint64_t ms)
{
	uint64_t until = stops_now(s) + ms;

	while (stops_now(s) < until) {
		ld_loop_run_for(s->loop, TICK_MS);
		stops_work_tick(s);
		stops_users_tick(s);
		watch_relays(s);
	}
}

/* ---- Start and end ---- */

static void
start_burners(int n)
{
	for (int i = 0; i < n; i++) {
		burners[i] = fork();
		if (burners[i] != 0)
			continue;
		for (volatile unsigned long k = 0;; k++)
			;
	}
}

static void
end_burners(int n)
{
	for (int i = 0; i < n; i++) {
		kill(burners[i], SIGKILL);
		waitpid(burners[i], NULL, 0);
	}
}

void
stops_open(struct stops *s, const struct stops_options *options)
{
	uint16_t port = ld_free_port();

	memset(s, 0, sizeof(*s));
	ld_session_begin(&s->session, "planned stops");
	s->options = *options;
	ld_rand_seed(&s->rand, options->seed);
	s->loop = ld_loop_new();
	s->store = ld_kv_store_new(s->loop, port);
	s->requests = ld_alloc(STOPS_REQUESTS_MAX * sizeof(*s->requests));
	if (s->store == NULL)
		abort();
	s->bounds = (struct stops_bounds){
	    .idle_ms = 15000, .head_ms = 5000, .timeout_ms = 12000};
	stops_put_config(s);
	for (int i = 0; i < STOPS_SERVERS; i++)
		stops_server_open(s, i);
	for (int i = 0; i < options->relays; i++)
		open_relay(s, i, port);
	start_burners(options->burners);
}

void
stops_close(struct stops *s)
{
	end_burners(s->options.burners);
	stops_users_close(s);
	if (s->lost > 0 || s->session.failed)
		s->session.failed = true;
	for (int i = 0; i < s->options.relays; i++)
		unlink(s->relays[i].settings);
	ld_session_end(&s->session);
	stops_work_drop(s);
	/* Requests that the killed processes still held are received and
	 * dropped. */
	ld_loop_run_for(s->loop, CLOSE_MS);
	stops_work_drop(s);
	for (int i = 0; i < STOPS_SERVERS; i++)
		ld_listener_free(s->servers[i].listener);
	ld_kv_store_free(s->store);
	ld_loop_free(s->loop);
	free(s->requests);
}
