/* Process of a relay node: start-up, event loop, signals, graceful shutdown. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "leader_records.h"

#define TICK_MS 15
/* Interval at which the settings file is checked for changes. */
#define RELOAD_INTERVAL_MS 1000
/* New connections are still accepted for this time after a stop signal, as the
 * load balancer checks readiness once a second and needs two results. Later
 * requests are refused, so that those in progress can complete before the
 * process ends. */
#define STOP_ACCEPT_MS 2500
/* Requests still in progress are ended this long before the end of the grace
 * period, at which the process is killed: with an answer, unless theirs has
 * begun. */
#define STOP_MARGIN_MS 700
/* Time for these answers to be sent. */
#define STOP_FLUSH_MS 100

/** struct process - state that the relay's other modules don't use */
struct process {
	struct relay relay; /* first member */
	ev_signal term;
	ev_signal interrupt;
	ev_signal hangup;
	ev_prepare before_wait;
	struct ld_timer tick;
	struct ld_timer reload;
	uint64_t stop_requested_ms;
	uint64_t grace_ms;
	struct timespec file_mtime;
	off_t file_size;
};

/* ---- Settings reload ---- */

static void
log_adjusted_settings(const struct ld_relay_settings *s)
{
	struct ld_str rest = ld_buf_str(&s->adjusted);

	while (rest.len > 0) {
		const char *end = memchr(rest.p, '\n', rest.len);
		size_t n = end != NULL ? (size_t)(end - rest.p) : rest.len;

		ld_event("settings.adjusted", "member=%.*s", (int)n, rest.p);
		n += end != NULL;
		rest.p += n;
		rest.len -= n;
	}
}

static void
reload_settings(struct process *p, const char *why)
{
	struct relay *r = &p->relay;
	struct ld_relay_settings *loaded = NULL;
	struct ld_buf faults = {0};

	if (ld_relay_settings_load(r->file, &loaded, &faults) == LD_OK) {
		ld_relay_settings_free(r->settings);
		r->settings = loaded;
		mesh_apply_settings(r);
		ld_event("settings.applied", "why=%s", why);
		log_adjusted_settings(loaded);
	} else {
		ld_event("settings.refused", "why=%s faults=\"%.400s\"", why,
		    ld_buf_cstr(&faults));
	}
	ld_buf_free(&faults);
}

static bool
settings_file_changed(struct process *p)
{
	struct stat st;

	if (stat(p->relay.file, &st) != 0)
		return false;
	if (st.st_mtim.tv_sec == p->file_mtime.tv_sec &&
	    st.st_mtim.tv_nsec == p->file_mtime.tv_nsec &&
	    st.st_size == p->file_size)
		return false;
	p->file_mtime = st.st_mtim;
	p->file_size = st.st_size;
	return true;
}

static void
on_reload(struct ld_timer *t, uint64_t now_ms)
{
	struct process *p =
	    (struct process *)((char *)t - offsetof(struct process, reload));

	if (settings_file_changed(p))
		reload_settings(p, "file-changed");
	ld_timer_after(ld_loop_timers(p->relay.loop), t, RELOAD_INTERVAL_MS);
}

/* ---- Signals ---- */

static void
on_stop_signal(struct ev_loop *ev, ev_signal *w, int signum)
{
	struct process *p = w->data;
	struct relay *r = &p->relay;

	if (r->stopping)
		return;
	r->stopping = true;
	p->stop_requested_ms = relay_now(r);
	p->grace_ms = r->settings->grace_ms;
	r->stop_ends_ms = p->stop_requested_ms;
	if (p->grace_ms > STOP_MARGIN_MS)
		r->stop_ends_ms += p->grace_ms - STOP_MARGIN_MS;
	ld_event("stop.asked", "requests=%zu connections=%zu grace_ms=%llu",
	    r->request_count, ld_listener_connections(r->entry),
	    (unsigned long long)p->grace_ms);
	ld_listener_set_closing(r->entry);
	changes_server_set_closing(r);
	leader_resign(r);
}

static void
on_hangup_signal(struct ev_loop *ev, ev_signal *w, int signum)
{
	struct process *p = w->data;

	(void)settings_file_changed(p);
	reload_settings(p, "hangup-signal");
}

static void
check_stop(struct process *p)
{
	struct relay *r = &p->relay;
	uint64_t now = relay_now(r);
	uint64_t since;
	bool at_end;

	if (!r->stopping)
		return;
	since = now - p->stop_requested_ms;
	at_end = now >= r->stop_ends_ms;
	r->refusing = since >= STOP_ACCEPT_MS || at_end;
	if (at_end)
		requests_fail_unbegun(r, "stopping");
	if (since < STOP_ACCEPT_MS && !at_end)
		return;
	if (ld_listener_open_exchanges(r->entry) +
		    ld_listener_lingering(r->entry) +
		    changes_server_open_exchanges(r) >
		0 &&
	    since + STOP_MARGIN_MS < p->grace_ms + STOP_FLUSH_MS)
		return;
	ld_event("stop.done", "ms=%llu cut=%zu", (unsigned long long)since,
	    r->request_count);
	ld_loop_stop(r->loop);
}

/* ---- Event loop ---- */

static void
on_tick(struct ld_timer *t, uint64_t now_ms)
{
	struct process *p =
	    (struct process *)((char *)t - offsetof(struct process, tick));
	struct relay *r = &p->relay;

	feed_tick(r);
	changes_server_tick(r);
	follow_tick(r);
	leader_tick(r);
	mesh_tick(r);
	control_tick(r);
	leader_records_tick(r->group_records);
	crashing_requests_tick(r);
	silent_groups_check(r);
	isolation_tick(r);
	usage_tick(r);
	server_limits_tick(r);
	pace_tick(r);
	check_stop(p);
	ld_timer_after(ld_loop_timers(r->loop), t, TICK_MS);
}

/* Runs before the loop waits: handles what this iteration changed and flushes
 * its log lines. */
static void
on_before_wait(struct ev_loop *ev, ev_prepare *w, int revents)
{
	struct process *p = w->data;

	control_end_turn(&p->relay);
	ld_event_flush();
}

static void
watch_signal(struct process *p, ev_signal *w, int signum,
    void (*fn)(struct ev_loop *, ev_signal *, int))
{
	ev_signal_init(w, fn, signum);
	w->data = p;
	ev_signal_start(ld_loop_ev(p->relay.loop), w);
}

static void
start_watchers(struct process *p)
{
	struct ld_timers *ts = ld_loop_timers(p->relay.loop);

	p->tick.fn = on_tick;
	p->reload.fn = on_reload;
	(void)settings_file_changed(p);
	watch_signal(p, &p->term, SIGTERM, on_stop_signal);
	watch_signal(p, &p->interrupt, SIGINT, on_stop_signal);
	watch_signal(p, &p->hangup, SIGHUP, on_hangup_signal);
	ev_prepare_init(&p->before_wait, on_before_wait);
	ev_set_priority(&p->before_wait, EV_MAXPRI);
	p->before_wait.data = p;
	ev_prepare_start(ld_loop_ev(p->relay.loop), &p->before_wait);
	ld_timer_after(ts, &p->tick, 0);
	ld_timer_after(ts, &p->reload, RELOAD_INTERVAL_MS);
}

static void
stop_watchers(struct process *p)
{
	struct ev_loop *ev = ld_loop_ev(p->relay.loop);
	struct ld_timers *ts = ld_loop_timers(p->relay.loop);

	ev_signal_stop(ev, &p->term);
	ev_signal_stop(ev, &p->interrupt);
	ev_signal_stop(ev, &p->hangup);
	ev_prepare_stop(ev, &p->before_wait);
	ld_timer_stop(ts, &p->tick);
	ld_timer_stop(ts, &p->reload);
}

enum ld_status
ld_relay_serve(const char *file, struct ld_relay_settings *settings,
    const struct ld_dialect *dialect)
{
	struct process *p = ld_alloc(sizeof(*p));
	struct relay *r = &p->relay;
	enum ld_status st;

	signal(SIGPIPE, SIG_IGN);
	r->file = file;
	r->settings = settings;
	r->dialect = dialect;
	ld_rand_seed_os(&r->rand);
	r->loop = ld_loop_new();
	r->start_ms = relay_now(r);
	r->http = ld_http_new(r->loop);
	r->store_http = ld_http_new(r->loop);
	r->servers = ld_servers_new();
	r->metrics = ld_metrics_new();
	counts_open(r);
	usage_open(r);
	ld_event("start", "node=%s zone=%s initial=%d", settings->name,
	    settings->failure_domain, settings->initial);
	log_adjusted_settings(settings);
	control_open(r);
	leader_open(r);
	isolation_open(r);
	st = listen_open(r);
	if (st != LD_OK)
		goto out;
	st = mesh_open(r);
	if (st != LD_OK)
		goto out;
	st = changes_server_open(r);
	if (st != LD_OK)
		goto out;
	relay_follow_open(r);
	feed_open(r);
	st = ready_open(r);
	if (st == LD_OK) {
		start_watchers(p);
		ld_loop_run(r->loop);
		stop_watchers(p);
	}
	/* Requests may still arrive while the listener closes, so everything
	 * that is needed to refuse them is freed afterwards. */
	r->refusing = true;
	ld_listener_free(r->entry);
	r->entry = NULL;
	requests_close(r);
	relay_follow_close(r);
	feed_close(r);
out:
	ready_close(r);
	changes_server_close(r);
	mesh_close(r);
	ld_listener_free(r->entry);
	isolation_close(r);
	crash_checks_close(r);
	leader_close(r);
	control_close(r);
	ld_http_free(r->http);
	ld_http_free(r->store_http);
	ld_servers_free(r->servers);
	ld_routes_free(r->routes);
	ld_metrics_free(r->metrics);
	counts_close(r);
	usage_close(r);
	ld_relay_settings_free(r->settings);
	ld_loop_free(r->loop);
	ld_event("end", "status=%s", ld_status_name(st));
	ld_event_flush();
	free(p);
	return st;
}
