/* Faults of the soak: drawn from the seed, in series, overlapping. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "ld_soak.h"

/* Concurrent faults, and the spread of the pause before the next, ms. */
#define AT_ONCE_MAX 4
#define PAUSE_SPREAD_MS 900
/* How long a fault lasts, ms. */
#define LASTS_MIN_MS 200
#define LASTS_SPREAD_MS 3500
#define RESTART_MS 200
#define DELAY_MS 150
/* A leaving server, marked so in its entry, serves for this time, ms; then it is
 * down for a while and restarts. */
#define LEAVE_MS 5000

enum fault_kind {
	FAULT_KILL,
	FAULT_TERM,
	FAULT_PAUSE,
	FAULT_PATH_CUT, /* between a relay and the store */
	FAULT_PATH_SILENT,
	FAULT_PATH_HALF_SILENT, /* open connections only */
	FAULT_PATH_SLOW,
	FAULT_STORE_SILENT,
	FAULT_STORE_FORGETS,
	FAULT_SERVER_GREY,
	FAULT_SERVER_SLOW,
	FAULT_SERVER_CUT,
	FAULT_SERVER_SILENT,
	FAULT_SERVER_RESTART,
	FAULT_SERVER_LEAVES,
	FAULT_KEY,
	FAULT_CONFIG,
	FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {"kill", "term", "pause",
    "path-cut", "path-silent", "path-half-silent", "path-slow", "store-silent",
    "store-forgets", "server-grey", "server-slow", "server-cut",
    "server-silent", "server-restart", "server-leaves", "key", "config"};

/** struct fault - an active fault */
struct fault {
	bool used;
	enum fault_kind kind;
	int target;
	uint64_t until_ms;
};

static struct fault active[AT_ONCE_MAX];
static uint64_t next_ms;
static uint64_t restart_ms[SOAK_RELAYS];

/* ---- Relays ---- */

static void
pause_relay(struct soak *s, int i, bool pause)
{
	struct soak_relay *r = &s->relays[i];

	soak_harm(s, i);
	r->paused = pause;
	if (pause)
		ld_freeze(r->proc);
	else
		ld_thaw(r->proc);
}

static void
harm_path(struct soak *s, int i, const char *mode)
{
	struct soak_relay *r = &s->relays[i];

	soak_harm(s, i);
	r->forward_harmed = strcmp(mode, "none") != 0;
	soak_mode(s, r->forward_control, mode, DELAY_MS);
}

static void
kill_relay(struct soak *s, int i)
{
	struct soak_relay *r = &s->relays[i];

	if (r->proc->pid <= 0)
		return;
	soak_harm(s, i);
	ld_kill(r->proc);
	r->paused = false;
	r->term_ms = 0;
	restart_ms[i] = soak_now(s) + RESTART_MS;
}

static void
stop_relay(struct soak *s, int i)
{
	struct soak_relay *r = &s->relays[i];

	if (r->proc->pid <= 0 || r->term_ms != 0)
		return;
	s->faults++;
	r->term_ms = r->last_term_ms = soak_now(s);
	ld_terminate(r->proc);
}

static void
check_stop(struct soak *s, int i, int status)
{
	struct soak_relay *r = &s->relays[i];
	uint64_t now = soak_now(s);

	if (r->term_ms == 0)
		soak_broken(s, NULL, "a relay ended by itself");
	else if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
		soak_broken(
		    s, NULL, "a relay that was stopped did not end well");
	else if (now > r->term_ms + SOAK_GRACE_MS + SOAK_SLACK_MS &&
	    r->calm_since_ms < r->term_ms)
		soak_broken(s, NULL, "a relay took too long to stop");
	restart_ms[i] = now + RESTART_MS;
}

void
soak_watch_processes(struct soak *s)
{
	for (int i = 0; i < SOAK_RELAYS; i++) {
		struct soak_relay *r = &s->relays[i];
		int status = 0;

		if (r->proc->pid > 0 && ld_ended(r->proc, &status))
			check_stop(s, i, status);
		if (r->proc->pid <= 0 && soak_now(s) >= restart_ms[i]) {
			soak_start_relay(s, i);
			r->paused = false;
		}
	}
}

/* ---- Servers ---- */

static void
restart_server(struct soak_server *v, bool gone)
{
	v->gone = gone;
	if (gone) {
		soak_server_delete_entry(v);
		return;
	}
	v->lives++;
	v->leaving_ms = 0;
	soak_server_put_entry(v, "ready");
}

static void
begin_leave(struct soak *s, struct soak_server *v)
{
	soak_server_put_entry(v, "draining");
	v->leaving_ms = soak_now(s);
}

/* ---- Keys ---- */

/* Removes one key and adds another in one configuration. */
static void
change_key(struct soak *s)
{
	int i = soak_key(s);

	if (s->key_count < SOAK_KEYS_MAX)
		s->keys[s->key_count++] = (struct soak_key){
		    .in_force = true, .added_ms = soak_now(s)};
	if (s->keys[i].in_force) {
		s->keys[i].in_force = false;
		s->keys[i].removed_ms = soak_now(s);
	}
	soak_put_config(s);
}

/* ---- Faults that begin and end ---- */

static bool
is_of_server(enum fault_kind k)
{
	return k >= FAULT_SERVER_GREY && k <= FAULT_SERVER_LEAVES;
}

static void
harm_server_path(struct soak *s, struct soak_server *v, const char *mode)
{
	s->server_paths_harmed += strcmp(mode, "none") != 0 ? 1 : -1;
	s->server_paths_ms = soak_now(s);
	soak_mode(s, v->forward_control, mode, 0);
}

static void
set_store(struct soak *s, bool harmed)
{
	s->store_harmed = harmed;
	s->store_calm_since_ms = soak_now(s);
	ld_kv_store_silence(s->store, harmed);
}

/* @on: the fault begins, otherwise it ends. */
static void
apply(struct soak *s, const struct fault *f, bool on)
{
	struct soak_server *v = &s->servers[f->target % SOAK_SERVERS];
	int i = f->target % SOAK_RELAYS;

	switch (f->kind) {
	case FAULT_KILL:
		if (on)
			kill_relay(s, i);
		break;
	case FAULT_TERM:
		if (on)
			stop_relay(s, i);
		break;
	case FAULT_PAUSE:
		pause_relay(s, i, on);
		break;
	case FAULT_PATH_CUT:
		harm_path(s, i, on ? "cut" : "none");
		break;
	case FAULT_PATH_SILENT:
		harm_path(s, i, on ? "silent-all" : "none");
		break;
	case FAULT_PATH_HALF_SILENT:
		harm_path(s, i, on ? "silent" : "none");
		break;
	case FAULT_PATH_SLOW:
		harm_path(s, i, on ? "delay" : "none");
		break;
	case FAULT_STORE_SILENT:
		set_store(s, on);
		break;
	case FAULT_STORE_FORGETS:
		if (on)
			ld_kv_store_forget(s->store);
		break;
	case FAULT_SERVER_GREY:
		v->mood = on ? MOOD_GREY : MOOD_WELL;
		break;
	case FAULT_SERVER_SLOW:
		v->mood = on ? MOOD_SLOW : MOOD_WELL;
		break;
	case FAULT_SERVER_CUT:
		harm_server_path(s, v, on ? "cut" : "none");
		break;
	case FAULT_SERVER_SILENT:
		harm_server_path(s, v, on ? "silent-all" : "none");
		break;
	case FAULT_SERVER_RESTART:
		restart_server(v, on);
		break;
	case FAULT_SERVER_LEAVES:
		if (on)
			begin_leave(s, v);
		else {
			restart_server(v, true);
			restart_server(v, false);
		}
		break;
	case FAULT_KEY:
		if (on)
			change_key(s);
		break;
	case FAULT_CONFIG:
		if (on)
			soak_put_config(s);
		break;
	case FAULT_COUNT:
		break;
	}
}

/* One fault at a time for each path, process and server, and for the store. */
static bool
is_taken(const struct fault *f)
{
	for (int i = 0; i < AT_ONCE_MAX; i++) {
		const struct fault *o = &active[i];
		bool both_of_servers =
		    is_of_server(o->kind) && is_of_server(f->kind);
		bool neither = !is_of_server(o->kind) && !is_of_server(f->kind);

		if (!o->used)
			continue;
		if (both_of_servers &&
		    o->target % SOAK_SERVERS == f->target % SOAK_SERVERS)
			return true;
		if (neither &&
		    o->target % SOAK_RELAYS == f->target % SOAK_RELAYS)
			return true;
		if (o->kind == FAULT_STORE_SILENT && f->kind == o->kind)
			return true;
	}
	return false;
}

static void
begin(struct soak *s)
{
	uint64_t now = soak_now(s);
	uint64_t lasts =
	    LASTS_MIN_MS + ld_rand_below(&s->rand, LASTS_SPREAD_MS);
	struct fault f = {.used = true,
	    .kind = (enum fault_kind)ld_rand_below(&s->rand, FAULT_COUNT),
	    .target = (int)ld_rand_below(&s->rand, 1000)};

	next_ms = now + ld_rand_below(&s->rand, PAUSE_SPREAD_MS);
	if (f.kind == FAULT_SERVER_LEAVES)
		lasts = LEAVE_MS;
	f.until_ms = now + lasts;
	if (is_taken(&f))
		return;
	for (int i = 0; i < AT_ONCE_MAX; i++) {
		if (active[i].used)
			continue;
		active[i] = f;
		if (getenv("LD_SOAK_VERBOSE") != NULL)
			printf("%llu %s %d for %llu ms\n",
			    (unsigned long long)now, fault_names[f.kind],
			    f.target, (unsigned long long)lasts);
		apply(s, &f, true);
		return;
	}
}

static void
end(struct soak *s, uint64_t now)
{
	for (int i = 0; i < AT_ONCE_MAX; i++) {
		if (!active[i].used || now < active[i].until_ms)
			continue;
		active[i].used = false;
		apply(s, &active[i], false);
	}
}

void
soak_fault_tick(struct soak *s, uint64_t until_ms)
{
	uint64_t now = soak_now(s);

	end(s, now);
	if (now >= next_ms && now < until_ms)
		begin(s);
}

void
soak_faults_end(struct soak *s)
{
	end(s, UINT64_MAX);
	next_ms = 0;
	memset(restart_ms, 0, sizeof(restart_ms));
}
