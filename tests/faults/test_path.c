/* The whole path as separate processes, recorded as one golden session. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ld_fleet.h"
#include "ld_test.h"

#define BIG_BODY_BYTES (2U << 20)

static struct ld_fleet fleet;

/* Makes a call through node @i and writes both sides into the transcript. */
static void
say(int i, const char *key, const char *path, const char *header,
    const char *body, struct ld_reply *r)
{
	ld_note(&fleet.s, "> node-%d %s %s %s", i + 1,
	    body != NULL ? "POST" : "GET", path, body != NULL ? body : "");
	ld_call(&fleet.s,
	    &(struct ld_call){
		.address = fleet.nodes[i]->address,
		.path = path,
		.key = key,
		.header = header,
		.body = body,
	    },
	    r);
	ld_note_reply(&fleet.s, r);
}

static void
exchange(int i, const char *key, const char *path, const char *header,
    const char *body)
{
	struct ld_reply r;

	say(i, key, path, header, body, &r);
	ld_reply_free(&r);
}

static void
completions(void)
{
	exchange(0, LD_FLEET_SHOP_KEY, "/v1/completions", NULL,
	    "{\"model\":\"llama-70b\",\"prompt\":\"ThinkPad T480\","
	    "\"max_tokens\":5,\"stream\":true}");
	exchange(1, LD_FLEET_SHOP_KEY, "/v1/completions", NULL,
	    "{\"model\":\"llama-70b\",\"prompt\":\"ThinkPad T480\","
	    "\"max_tokens\":5}");
	exchange(1, LD_FLEET_QUAY_KEY, "/v1/chat/completions", NULL,
	    "{\"model\":\"llama-70b\",\"messages\":[{\"role\":\"user\","
	    "\"content\":\"Shift plan, berth 4\"}],\"max_tokens\":3,"
	    "\"stream\":true}");
}

static void
services(void)
{
	exchange(
	    0, LD_FLEET_SHOP_KEY, "/services/stock/status/lot-31", NULL, NULL);
	exchange(1, LD_FLEET_SHOP_KEY, "/services/stock/transfers", NULL,
	    "{\"lot\":\"lot-31\",\"to\":\"shop-vaasa\"}");
	exchange(0, LD_FLEET_SHOP_KEY, "/services/none/status/1", NULL, NULL);
}

static void
refusals(void)
{
	exchange(0, "nobody", "/v1/completions", NULL,
	    "{\"model\":\"llama-70b\",\"prompt\":\"x\"}");
	exchange(1, NULL, "/v1/completions", NULL,
	    "{\"model\":\"llama-70b\",\"prompt\":\"x\"}");
	exchange(0, LD_FLEET_SHOP_KEY, "/v1/completions", NULL, "{\"model\":");
	exchange(0, LD_FLEET_SHOP_KEY, "/v1/completions", NULL,
	    "{\"model\":\"no-such\",\"prompt\":\"x\"}");
	exchange(1, LD_FLEET_SHOP_KEY, "/nothing", NULL, NULL);
}

static void
oversized(void)
{
	char *body = ld_alloc(BIG_BODY_BYTES + 1);
	struct ld_reply r;

	memset(body, 'x', BIG_BODY_BYTES);
	ld_note(&fleet.s, "> node-1 POST /v1/completions, %u bytes",
	    BIG_BODY_BYTES);
	ld_call(&fleet.s,
	    &(struct ld_call){
		.address = fleet.nodes[0]->address,
		.path = "/v1/completions",
		.key = LD_FLEET_SHOP_KEY,
		.body = body,
	    },
	    &r);
	/* Whether the client completes its upload is up to TCP. */
	r.ok = true;
	ld_note_reply(&fleet.s, &r);
	ld_reply_free(&r);
	free(body);
}

static void
test_golden_session(void)
{
	ld_fleet_begin(&fleet, "path", &(struct ld_fleet_options){0});
	completions();
	services();
	refusals();
	oversized();
	ld_note(&fleet.s, "the service ran %u transfers and %u lookups",
	    ld_ledger_count(
		&fleet.s, fleet.service->address, "path", "/transfers"),
	    ld_ledger_count(
		&fleet.s, fleet.service->address, "path", "/status/lot-31"));
	ld_golden(&fleet.s);
	ld_fleet_end(&fleet);
}

/* ---- A caller that hangs up ---- */

static bool
engines_idle(void *arg)
{
	bool idle = true;

	for (int i = 0; i < fleet.o.replicas; i++) {
		json_t *load = ld_get_json(
		    &fleet.s, ld_fleet_engine(&fleet, i, 0)->address, "/load");

		idle = idle && load != NULL &&
		    json_integer_value(json_object_get(load, "running")) == 0;
		json_decref(load);
	}
	return idle;
}

static bool
no_open_request(void *arg)
{
	json_t *status = ld_fleet_status(&fleet, 0);
	bool none = status != NULL &&
	    json_integer_value(json_object_get(status, "open_requests")) == 0;

	json_decref(status);
	return none;
}

static void
test_hang_up_frees_the_place(void)
{
	struct ld_stream st;

	ld_fleet_begin(&fleet, "hang-up", &(struct ld_fleet_options){0});
	/* At 20 ms a token this stream would take 40 s. */
	ld_stream_start(&fleet.s, &st, fleet.nodes[0]->address,
	    LD_FLEET_SHOP_KEY, "a long text", 2000);
	ld_session_expect(&fleet.s, ld_stream_wait_tokens(&st, 3, LD_WAIT_MS),
	    "no token came");
	atomic_store(&st.hang_up, true);
	ld_stream_join(&st);
	ld_stream_free(&st);
	ld_session_expect(&fleet.s, ld_wait_until(engines_idle, NULL, 5000),
	    "the place on the engine was not freed within 5 s");
	ld_session_expect(&fleet.s, ld_wait_until(no_open_request, NULL, 5000),
	    "the request stays open at the node");
	ld_fleet_end(&fleet);
}

/* ---- A caller that sends its request in pieces, or stops midway ---- */

static void
test_half_a_request_leaks_nothing(void)
{
	struct ld_reply r;

	ld_fleet_begin(&fleet, "half", &(struct ld_fleet_options){0});
	for (int i = 0; i < 20; i++) {
		/* The client's time-out of 1 ms ends before the answer. */
		ld_call(&fleet.s,
		    &(struct ld_call){
			.address = fleet.nodes[0]->address,
			.path = "/v1/completions",
			.key = LD_FLEET_SHOP_KEY,
			.body = "{\"model\":\"llama-70b\",\"prompt\":\"x\","
				"\"max_tokens\":2000}",
			.timeout_ms = (uint64_t)(1 + i),
		    },
		    &r);
		ld_reply_free(&r);
	}
	ld_session_expect(&fleet.s, ld_wait_until(engines_idle, NULL, 5000),
	    "places on engines were not freed within 5 s");
	ld_session_expect(&fleet.s, ld_wait_until(no_open_request, NULL, 5000),
	    "requests stay open at the node");
	ld_terminate(fleet.nodes[0]);
	ld_session_expect(&fleet.s, ld_wait_end(fleet.nodes[0], LD_WAIT_MS),
	    "the node does not end with status 0, or leaks");
	ld_fleet_end(&fleet);
}

/* A balancer routes callers to a node once it reports ready. */
static void
test_ready_means_serving(void)
{
	ld_fleet_begin(&fleet, "ready", &(struct ld_fleet_options){0});
	for (int i = 0; i < 3; i++) {
		ld_kill(fleet.nodes[0]);
		ld_fleet_start_node(&fleet, 0);
		ld_session_expect(&fleet.s, ld_fleet_wait_ready(&fleet, 0),
		    "the node does not become ready");
		ld_session_expect(&fleet.s,
		    ld_fleet_lookup(&fleet, 0, LD_FLEET_SHOP_KEY, "lot-1") ==
			200,
		    "ready, but the first request is refused");
	}
	ld_fleet_end(&fleet);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"the whole path, golden", test_golden_session},
	    {"a hang-up frees the place", test_hang_up_frees_the_place},
	    {"half a request leaks nothing", test_half_a_request_leaks_nothing},
	    {"ready means serving", test_ready_means_serving},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("path", cases);
}
