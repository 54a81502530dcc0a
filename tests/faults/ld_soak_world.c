/* Environment of the soak: store, configuration, relays behind forwarders. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ld_soak.h"

#define CLOSE_MS 200

void
soak_broken(struct soak *s, const struct soak_attempt *a, const char *what)
{
	char text[256];

	if (a != NULL)
		snprintf(text, sizeof(text),
		    "seed %llu: request %u (kind %d, relay %d, sent at %llu): "
		    "%s",
		    (unsigned long long)s->seed, a->number, a->kind, a->relay,
		    (unsigned long long)a->sent_ms, what);
	else
		snprintf(text, sizeof(text), "seed %llu: %s",
		    (unsigned long long)s->seed, what);
	ld_session_expect(&s->session, false, text);
}

/* ---- Configuration ---- */

void
soak_put_config(struct soak *s)
{
	static const char route[] =
	    "{\"name\":\"%s\",\"host\":\"h\",\"prefix\":\"/%s/\",\"type\":"
	    "\"%s\",\"timeout_ms\":3000,\"target_latency_ms\":300,"
	    "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,"
	    "\"anonymous\":%s}";
	struct ld_buf b = {0};
	bool first = true;

	ld_buf_printf(
	    &b, "{\"version\":%d,\"route_table\":[", ++s->config_version);
	ld_buf_printf(&b, route, "r1", "look", "idempotent", "false");
	ld_buf_printf(&b, ",");
	ld_buf_printf(&b, route, "r2", "book", "non_idempotent", "false");
	ld_buf_printf(&b, ",");
	ld_buf_printf(
	    &b, route, "r3", "events", "streaming", "false,\"resumable\":true");
	ld_buf_printf(&b, ",");
	ld_buf_printf(&b, route, "r4", "open", "idempotent", "true");
	ld_buf_printf(&b,
	    "],\"services\":[{\"name\":\"desk\",\"max_connections\":100}],"
	    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
	    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	    "\"tenants\":[{\"name\":\"shop\",\"priority\":null,"
	    "\"api_keys\":[");
	for (int i = 0; i < s->key_count; i++) {
		if (!s->keys[i].in_force)
			continue;
		ld_buf_printf(&b, "%s\"key-%d\"", first ? "" : ",", i);
		first = false;
	}
	ld_buf_printf(&b, "]}]}");
	ld_kv_store_put(s->store, "op/config", ld_buf_cstr(&b));
	ld_buf_free(&b);
}

/* ---- Relays ---- */

void
soak_harm(struct soak *s, int relay)
{
	s->relays[relay].calm_since_ms = soak_now(s);
	s->faults++;
}

bool
soak_is_calm(const struct soak *s, int relay, uint64_t since_ms)
{
	const struct soak_relay *r = &s->relays[relay];

	return !r->paused && !r->forward_harmed && r->proc->pid > 0 &&
	    !s->store_harmed && r->calm_since_ms + SOAK_CALM_MS < since_ms &&
	    s->store_calm_since_ms + SOAK_CALM_MS < since_ms;
}

bool
soak_paths_calm(const struct soak *s, uint64_t since_ms)
{
	return s->server_paths_harmed == 0 && s->server_paths_ms < since_ms;
}

void
soak_mode(struct soak *s, const char *control, const char *mode, int ms)
{
	struct ld_reply reply = {0};
	char body[64];

	snprintf(body, sizeof(body), "{\"mode\":\"%s\",\"ms\":%d}", mode, ms);
	ld_call(&s->session,
	    &(struct ld_call){
		.address = control, .path = "/mode", .body = body},
	    &reply);
	ld_session_expect(&s->session, reply.code == 200, "a forwarder's mode");
	ld_reply_free(&reply);
}

static void
split(const char *address, char host[32], const char **port)
{
	snprintf(host, 32, "%.*s", (int)strcspn(address, ":"), address);
	*port = strchr(address, ':') + 1;
}

struct ld_proc *
soak_forward(struct soak *s, const char *name, const char *to, char at[32],
    char control[32])
{
	char host[32];
	const char *port;
	const char *argv[] = {"forward", "--listen", at, "--to", to,
	    "--address", host, "--control", NULL, NULL};
	struct ld_proc *p;

	ld_address_new(&s->session, at);
	ld_address_new(&s->session, control);
	split(control, host, &port);
	argv[8] = port;
	p = ld_spawn(&s->session, name, "ld_standin", at, argv);
	ld_session_expect(&s->session, ld_wait_listening(control, LD_WAIT_MS),
	    "a forwarder does not listen");
	return p;
}

void
soak_start_relay(struct soak *s, int i)
{
	struct soak_relay *r = &s->relays[i];
	const char *argv[] = {"relay", "-c", r->settings, NULL};
	char name[16];

	snprintf(name, sizeof(name), "relay%d", i);
	if (r->proc == NULL)
		r->proc = ld_spawn(
		    &s->session, name, LD_RELAY_PROGRAM, r->entry, argv);
	else
		ld_respawn(&s->session, r->proc, LD_RELAY_PROGRAM, argv);
	r->term_ms = 0;
	soak_harm(s, i);
}

static void
open_relay(struct soak *s, int i, const char *store_at)
{
	struct soak_relay *r = &s->relays[i];
	char name[24], ready[32], host[32];
	const char *port;
	FILE *f;

	snprintf(name, sizeof(name), "to-store%d", i);
	r->store_forward =
	    soak_forward(s, name, store_at, r->store_at, r->forward_control);
	ld_address_new(&s->session, r->entry);
	ld_address_new(&s->session, ready);
	split(r->entry, host, &port);
	snprintf(r->settings, sizeof(r->settings), "%s/relay%d.json",
	    s->session.dir, i);
	f = fopen(r->settings, "we");
	if (f == NULL)
		abort();
	fprintf(f,
	    "{\"node\":{\"name\":\"n%d\",\"failure_domain\":\"z1\"},"
	    "\"entry\":{\"listen\":\"%s\"},\"readiness\":{\"listen\":\"%s\"},"
	    "\"peers\":{\"port\":7340,\"follow_from_nodes\":%d},"
	    "\"metrics\":{\"port\":7341},"
	    "\"store\":{\"address\":\"%s\"},\"bounds\":{\"revoke_ms\":%d,"
	    "\"drain_ms\":%d,\"config_apply_ms\":%d,\"grace_s\":%d,"
	    "\"repeat_extra\":1000}}",
	    i, r->entry, ready,
	    s->seed % 2 == 1 ? SOAK_RELAYS - 1 : SOAK_RELAYS + 1, r->store_at,
	    SOAK_REVOKE_MS, SOAK_DRAIN_MS, SOAK_CONFIG_MS,
	    SOAK_GRACE_MS / 1000);
	fclose(f);
	soak_start_relay(s, i);
}

void
soak_open(struct soak *s, uint64_t seed)
{
	char store_at[32];
	uint16_t port = ld_free_port();

	memset(s, 0, sizeof(*s));
	ld_session_begin(&s->session, "soak");
	s->seed = seed;
	ld_rand_seed(&s->rand, seed);
	s->loop = ld_loop_new();
	s->http = ld_http_new(s->loop);
	s->store = ld_kv_store_new(s->loop, port);
	s->attempts = ld_alloc(SOAK_ATTEMPTS_MAX * sizeof(*s->attempts));
	if (s->store == NULL)
		abort();
	snprintf(store_at, sizeof(store_at), "127.0.0.1:%u", port);
	s->key_count = 3;
	for (int i = 0; i < s->key_count; i++)
		s->keys[i].in_force = true;
	soak_put_config(s);
	for (int i = 0; i < SOAK_SERVERS; i++)
		soak_server_open(s, i);
	for (int i = 0; i < SOAK_RELAYS; i++)
		open_relay(s, i, store_at);
}

static void
drop_work(struct soak *s)
{
	while (s->work != NULL) {
		struct soak_work *w = s->work;

		s->work = w->next;
		if (w->x != NULL) {
			ld_exchange_set_user_data(w->x, NULL);
			ld_exchange_abort(w->x);
		}
		free(w);
	}
}

void
soak_close(struct soak *s)
{
	ld_http_free(s->http);
	for (int i = 0; i < SOAK_RELAYS; i++)
		unlink(s->relays[i].settings);
	ld_session_end(&s->session);
	drop_work(s);
	/* Connections of the killed processes close; requests that they still
	 * held are received and dropped. */
	ld_loop_run_for(s->loop, CLOSE_MS);
	drop_work(s);
	for (int i = 0; i < SOAK_SERVERS; i++)
		ld_listener_free(s->servers[i].listener);
	ld_kv_store_free(s->store);
	ld_loop_free(s->loop);
	for (uint32_t i = 0; i < s->attempt_count; i++)
		ld_buf_free(&s->attempts[i].body);
	free(s->attempts);
}
