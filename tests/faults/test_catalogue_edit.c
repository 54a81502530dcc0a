/* Catalogue edits: in force everywhere, one of two operators wins, outages. */
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "ld_fleet.h"
#include "ld_test.h"

/* An accepted change is in force on every live node within this time. */
#define IN_FORCE_MS 4000

static struct ld_fleet fleet;

static json_int_t
revision_at(int node)
{
	json_t *status = ld_fleet_status(&fleet, node);
	json_int_t revision =
	    json_integer_value(json_object_get(status, "catalogue_revision"));

	json_decref(status);
	return revision;
}

/** struct edit - one PUT of the catalogue and its answer */
struct edit {
	int node;
	json_int_t match;
	unsigned int limit;
	struct ld_reply reply;
};

static void *
put(void *arg)
{
	struct edit *e = arg;
	struct ld_buf doc = {0};
	char header[64];

	ld_fleet_catalogue(e->limit, &doc);
	snprintf(header, sizeof(header), "If-Match: %lld", (long long)e->match);
	ld_fleet_operate(
	    &fleet, e->node, "PUT", "/catalogue", header, doc.p, &e->reply);
	ld_buf_free(&doc);
	return NULL;
}

static long
ask_as_shop(int node)
{
	return ld_fleet_lookup(&fleet, node, LD_FLEET_SHOP_KEY, "lot-1");
}

static bool
refused_everywhere(void *arg)
{
	for (int i = 0; i < fleet.o.nodes; i++)
		if (ask_as_shop(i) != 429)
			return false;
	return true;
}

static bool
served_everywhere(void *arg)
{
	for (int i = 0; i < fleet.o.nodes; i++)
		if (ask_as_shop(i) != 200)
			return false;
	return true;
}

static bool
accepted(const struct edit *e)
{
	json_t *j = ld_reply_json(&e->reply);
	bool yes = e->reply.code == 200 &&
	    json_is_true(json_object_get(j, "accepted"));

	json_decref(j);
	return yes;
}

/* Accepted means in force: the very next requests show it. */
static void
test_accepted_is_in_force(void)
{
	struct edit e = {.node = 0};

	ld_fleet_begin(&fleet, "edit", &(struct ld_fleet_options){.nodes = 3});
	e.match = revision_at(0);
	put(&e);
	ld_session_expect(&fleet.s, accepted(&e), "the edit is not accepted");
	ld_session_expect(&fleet.s, e.reply.ms <= IN_FORCE_MS,
	    "the answer took longer than a change may take");
	ld_session_expect(&fleet.s, refused_everywhere(NULL),
	    "accepted, but not in force on every node");
	ld_reply_free(&e.reply);
	ld_fleet_end(&fleet);
}

static void
test_two_operators(void)
{
	ld_fleet_begin(&fleet, "edit-race", &(struct ld_fleet_options){0});
	for (int round = 0; round < 5; round++) {
		struct edit e[2] = {
		    {.node = 0, .limit = 500}, {.node = 1, .limit = 600}};
		pthread_t threads[2];
		int wins = 0, conflicts = 0;

		e[0].match = e[1].match = revision_at(0);
		for (int i = 0; i < 2; i++)
			pthread_create(&threads[i], NULL, put, &e[i]);
		for (int i = 0; i < 2; i++)
			pthread_join(threads[i], NULL);
		for (int i = 0; i < 2; i++) {
			wins += accepted(&e[i]);
			conflicts += e[i].reply.code == 412 &&
			    strstr(e[i].reply.body.p, "revision") != NULL;
			ld_reply_free(&e[i].reply);
		}
		ld_session_expect(&fleet.s, wins == 1 && conflicts == 1,
		    "not one winner and one typed conflict");
	}
	ld_fleet_end(&fleet);
}

static void
test_lost_write_answer(void)
{
	struct edit e = {.node = 0};

	ld_fleet_begin(&fleet, "edit-lost", &(struct ld_fleet_options){0});
	e.match = revision_at(0);
	ld_fault(&fleet.s, fleet.store->address,
	    "{\"mode\":\"lose-answer\",\"count\":1}");
	put(&e);
	ld_session_expect(&fleet.s, accepted(&e),
	    "a write that took effect is not told as accepted");
	ld_session_expect(&fleet.s,
	    ld_wait_until(refused_everywhere, NULL, IN_FORCE_MS),
	    "the change is not in force");
	ld_reply_free(&e.reply);
	ld_fleet_end(&fleet);
}

/* ---- Outages of the store ---- */

static void
test_serving_through_outage(void)
{
	ld_fleet_begin(&fleet, "outage", &(struct ld_fleet_options){0});
	ld_fault(&fleet.s, fleet.store->address, "{\"mode\":\"down\"}");
	for (int i = 0; i < 100; i++) {
		ld_session_expect(&fleet.s, served_everywhere(NULL),
		    "a request was refused during the outage");
		usleep(50000);
	}
	ld_fault(&fleet.s, fleet.store->address, "{\"mode\":\"ok\"}");
	ld_fleet_end(&fleet);
}

static void
test_edit_after_outage(void)
{
	struct edit e = {.node = 0};

	ld_fleet_begin(&fleet, "outage-edit", &(struct ld_fleet_options){0});
	e.match = revision_at(0);
	ld_fault(&fleet.s, fleet.store->address, "{\"mode\":\"down\"}");
	put(&e);
	ld_session_expect(&fleet.s, !accepted(&e) && e.reply.code >= 500,
	    "an edit during an outage is not refused");
	ld_reply_free(&e.reply);
	ld_fault(&fleet.s, fleet.store->address, "{\"mode\":\"ok\"}");
	ld_session_expect(&fleet.s, served_everywhere(NULL),
	    "a refused edit changed something");
	for (int i = 0; i < 40 && e.reply.code != 200; i++) {
		put(&e);
		ld_reply_free(&e.reply);
		usleep(250000);
	}
	ld_session_expect(&fleet.s,
	    ld_wait_until(refused_everywhere, NULL, IN_FORCE_MS),
	    "an edit after the outage is not in force");
	ld_fleet_end(&fleet);
}

/* A lagging replica of the store answers: no change is reverted. */
static void
test_stale_store_reverts_nothing(void)
{
	struct edit e = {.node = 0};
	char fault[64];

	ld_fleet_begin(&fleet, "stale", &(struct ld_fleet_options){0});
	e.match = revision_at(0);
	put(&e);
	ld_session_expect(&fleet.s, accepted(&e), "the edit is not accepted");
	ld_reply_free(&e.reply);
	ld_session_expect(&fleet.s,
	    ld_wait_until(refused_everywhere, NULL, IN_FORCE_MS),
	    "the change is not in force");
	snprintf(fault, sizeof(fault), "{\"mode\":\"stale\",\"revision\":%lld}",
	    (long long)e.match);
	/* Watches are cut, so that nodes read the store again. */
	ld_fault(&fleet.s, fleet.store->address, "{\"mode\":\"down\"}");
	ld_fault(&fleet.s, fleet.store->address, fault);
	for (int i = 0; i < 60; i++) {
		ld_session_expect(&fleet.s, refused_everywhere(NULL),
		    "an old answer of the store reverted a change");
		usleep(50000);
	}
	ld_fleet_end(&fleet);
}

/* All nodes are replaced one after another, and the change stays. */
static void
test_replaced_nodes_keep_the_change(void)
{
	struct edit e = {.node = 0};

	ld_fleet_begin(
	    &fleet, "replaced", &(struct ld_fleet_options){.nodes = 3});
	e.match = revision_at(0);
	put(&e);
	ld_reply_free(&e.reply);
	for (int i = 0; i < fleet.o.nodes; i++) {
		ld_kill(fleet.nodes[i]);
		ld_fleet_start_node(&fleet, i);
		ld_session_expect(&fleet.s, ld_fleet_wait_ready(&fleet, i),
		    "a replaced node does not become ready");
		ld_session_expect(&fleet.s, ask_as_shop(i) == 429,
		    "a replaced node does not hold the change");
	}
	ld_fleet_end(&fleet);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"accepted is in force", test_accepted_is_in_force},
	    {"two operators at once", test_two_operators},
	    {"a lost write answer", test_lost_write_answer},
	    {"serving through an outage", test_serving_through_outage},
	    {"an edit after an outage", test_edit_after_outage},
	    {"a stale store reverts nothing", test_stale_store_reverts_nothing},
	    {"replaced nodes keep the change",
		test_replaced_nodes_keep_the_change},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("catalogue edit", cases);
}
