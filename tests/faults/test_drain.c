/* Planned stops interrupt no request. */
#include <string.h>
#include <unistd.h>

#include "ld_fleet.h"
#include "ld_test.h"

#define TOKENS 150 /* 3 s at 20 ms a token */
#define STREAMS 4
#define PROMPT "a stream that outlives the signal"

static struct ld_fleet fleet;
static struct ld_stream streams[STREAMS];

static void
start_streams(int node)
{
	for (int i = 0; i < STREAMS; i++)
		ld_stream_start(&fleet.s, &streams[i],
		    fleet.nodes[node]->address, LD_FLEET_SHOP_KEY, PROMPT,
		    TOKENS);
	for (int i = 0; i < STREAMS; i++)
		ld_session_expect(&fleet.s,
		    ld_stream_wait_tokens(&streams[i], 2, LD_WAIT_MS),
		    "no token came");
}

static void
expect_whole_streams(void)
{
	for (int i = 0; i < STREAMS; i++) {
		ld_stream_join(&streams[i]);
		ld_session_expect(&fleet.s,
		    strcmp(ld_stream_check(&streams[i], PROMPT, TOKENS),
			"whole") == 0,
		    ld_stream_check(&streams[i], PROMPT, TOKENS));
		if (strcmp(ld_stream_check(&streams[i], PROMPT, TOKENS),
			"whole") != 0)
			printf("stream %d: %ld ... %s\n", i,
			    streams[i].reply.code, ld_stream_end(&streams[i]));
		ld_stream_free(&streams[i]);
	}
}

static void
test_sigterm_finishes_streams(void)
{
	ld_fleet_begin(&fleet, "drain", &(struct ld_fleet_options){.nodes = 1});
	start_streams(0);
	ld_terminate(fleet.nodes[0]);
	expect_whole_streams();
	ld_session_expect(&fleet.s, ld_wait_end(fleet.nodes[0], LD_WAIT_MS),
	    "the node does not end with status 0");
	ld_fleet_end(&fleet);
}

static bool
draining(void *arg)
{
	json_t *status = ld_fleet_status(&fleet, 0);
	const char *phase = json_string_value(json_object_get(status, "phase"));
	bool yes = phase != NULL && strcmp(phase, "draining") == 0;

	json_decref(status);
	return yes;
}

static void
test_second_sigterm_cuts_nothing(void)
{
	ld_fleet_begin(
	    &fleet, "drain-twice", &(struct ld_fleet_options){.nodes = 1});
	start_streams(0);
	ld_terminate(fleet.nodes[0]);
	ld_session_expect(&fleet.s, ld_wait_until(draining, NULL, 5000),
	    "the node does not say that it drains");
	ld_terminate(fleet.nodes[0]);
	ld_terminate(fleet.nodes[0]);
	expect_whole_streams();
	ld_session_expect(&fleet.s, ld_wait_end(fleet.nodes[0], LD_WAIT_MS),
	    "the node does not end with status 0");
	ld_fleet_end(&fleet);
}

/* New requests are served until the balancer detects the drain. */
static void
test_requests_right_after_sigterm_are_served(void)
{
	struct ld_reply r;

	ld_fleet_begin(
	    &fleet, "drain-new", &(struct ld_fleet_options){.nodes = 1});
	ld_terminate(fleet.nodes[0]);
	ld_session_expect(&fleet.s, ld_wait_until(draining, NULL, 5000),
	    "the node does not say that it drains");
	ld_call(&fleet.s,
	    &(struct ld_call){
		.address = fleet.nodes[0]->address,
		.path = "/services/stock/status/lot-1",
		.key = LD_FLEET_SHOP_KEY,
	    },
	    &r);
	ld_session_expect(&fleet.s, r.ok && r.code == 200,
	    "a request during the notice was not served");
	ld_reply_free(&r);
	ld_session_expect(&fleet.s, ld_wait_end(fleet.nodes[0], LD_WAIT_MS),
	    "the node does not end with status 0");
	ld_fleet_end(&fleet);
}

static void
test_drain_during_store_outage(void)
{
	ld_fleet_begin(
	    &fleet, "drain-outage", &(struct ld_fleet_options){.nodes = 1});
	start_streams(0);
	ld_fault(&fleet.s, fleet.store->address, "{\"mode\":\"down\"}");
	ld_terminate(fleet.nodes[0]);
	expect_whole_streams();
	ld_session_expect(&fleet.s, ld_wait_end(fleet.nodes[0], LD_WAIT_MS),
	    "the node does not end with status 0");
	ld_fleet_end(&fleet);
}

/* ---- A backend server that leaves ---- */

static unsigned int
calls_of(int replica)
{
	json_t *ledger = ld_get_json(
	    &fleet.s, ld_fleet_engine(&fleet, replica, 0)->address, "/ledger");
	unsigned int n =
	    (unsigned int)json_array_size(json_object_get(ledger, "calls"));

	json_decref(ledger);
	return n;
}

static void
complete(int node, unsigned int tokens)
{
	struct ld_reply r;
	char body[128];

	snprintf(body, sizeof(body),
	    "{\"model\":\"llama-70b\",\"prompt\":\"x\",\"max_tokens\":%u}",
	    tokens);
	ld_call(&fleet.s,
	    &(struct ld_call){
		.address = fleet.nodes[node]->address,
		.path = "/v1/completions",
		.key = LD_FLEET_SHOP_KEY,
		.body = body,
	    },
	    &r);
	ld_session_expect(
	    &fleet.s, r.ok && r.code == 200, "a completion was not served");
	ld_reply_free(&r);
}

/* A member that isn't the head leaves: its replica gets no new requests. */
static void
test_leaving_member_gets_no_new_request(void)
{
	const char *leaving[2] = {NULL, NULL};
	uint64_t said_ms;
	unsigned int before;

	ld_fleet_begin(&fleet, "leaving", &(struct ld_fleet_options){0});
	start_streams(0);
	leaving[0] = ld_fleet_engine(&fleet, 0, 1)->address;
	ld_fleet_set_list(&fleet, leaving, NULL);
	said_ms = ld_now_ms();
	/* Requests may still go there within 5 s; none may fail. */
	while (ld_now_ms() < said_ms + 5000)
		complete(1, 1);
	before = calls_of(0);
	for (int i = 0; i < 40; i++)
		complete(i % 2, 1);
	ld_session_expect(&fleet.s, calls_of(0) == before,
	    "a leaving server got a new request after 5 s");
	expect_whole_streams();
	ld_fleet_end(&fleet);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"SIGTERM finishes streams", test_sigterm_finishes_streams},
	    {"a second SIGTERM cuts nothing", test_second_sigterm_cuts_nothing},
	    {"requests right after SIGTERM are served",
		test_requests_right_after_sigterm_are_served},
	    {"drain during a store outage", test_drain_during_store_outage},
	    {"a leaving member gets no new request",
		test_leaving_member_gets_no_new_request},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("drain", cases);
}
