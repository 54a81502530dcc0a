/* A booking with a key runs at most once, whichever process dies meanwhile. */
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "ld_fleet.h"
#include "ld_test.h"

#define ROUNDS 24
#define TRIES 3 /* of the caller, through one node after the other */
#define SERVICE_MS 150 /* of one booking */
#define TIMEOUT_MS 6000

static const uint64_t seeds[] = {1, 2};

static struct ld_fleet fleet;
static struct ld_rand rng;

enum fault {
	FAULT_NONE,
	FAULT_SERVICE_CUT_BEFORE,
	FAULT_SERVICE_CUT_AFTER,
	FAULT_STORE_LOSES_ANSWER,
	FAULT_STORE_CUTS,
	FAULT_STORE_DOWN,
	FAULT_NODE_KILLED,
	FAULT_NODE_FROZEN,
	FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {"none",
    "service cut before the run", "service cut after the run",
    "store loses an answer", "store cuts a write", "store down", "node killed",
    "node frozen"};

/** struct attempt - one try of the caller */
struct attempt {
	int node;
	char key[48];
	char body[64];
	long code;
	char ran[16];
};

static void *
try_booking(void *arg)
{
	struct attempt *a = arg;
	struct ld_reply r;
	char header[80];
	json_t *j;
	const char *ran;

	snprintf(header, sizeof(header), "Idempotency-Key: %s", a->key);
	ld_call(&fleet.s,
	    &(struct ld_call){
		.address = fleet.nodes[a->node]->address,
		.path = "/services/stock/transfers",
		.key = LD_FLEET_SHOP_KEY,
		.header = header,
		.body = a->body,
		.timeout_ms = TIMEOUT_MS,
	    },
	    &r);
	j = ld_reply_json(&r);
	ran = json_string_value(json_object_get(j, "ran"));
	if (!r.ok)
		ran = "unknown";
	else if (r.code < 300)
		ran = "yes";
	a->code = r.code;
	snprintf(a->ran, sizeof(a->ran), "%s", ran != NULL ? ran : "other");
	json_decref(j);
	ld_reply_free(&r);
	return NULL;
}

static unsigned int
runs_of(const struct attempt *a)
{
	return ld_ledger_count(
	    &fleet.s, fleet.service->address, "body", a->body);
}

static void
set_fault(enum fault f)
{
	const char *store = "{\"mode\":\"ok\"}";
	char service[64];

	snprintf(service, sizeof(service), "{\"mode\":\"slow\",\"ms\":%d}",
	    SERVICE_MS);
	if (f == FAULT_SERVICE_CUT_BEFORE)
		strcpy(service, "{\"mode\":\"cut-before-run\",\"count\":1}");
	if (f == FAULT_SERVICE_CUT_AFTER)
		strcpy(service, "{\"mode\":\"cut-after-run\",\"count\":1}");
	if (f == FAULT_STORE_LOSES_ANSWER)
		store = "{\"mode\":\"lose-answer\",\"count\":1}";
	if (f == FAULT_STORE_CUTS)
		store = "{\"mode\":\"cut-before\",\"count\":1}";
	if (f == FAULT_STORE_DOWN)
		store = "{\"mode\":\"down\"}";
	ld_fault(&fleet.s, fleet.service->address, service);
	ld_fault(&fleet.s, fleet.store->address, store);
}

static void
hurt_node(enum fault f, int node)
{
	usleep((useconds_t)ld_rand_below(&rng, 1500ULL * SERVICE_MS));
	if (f == FAULT_NODE_KILLED) {
		ld_kill(fleet.nodes[node]);
	} else if (f == FAULT_NODE_FROZEN) {
		ld_freeze(fleet.nodes[node]);
		usleep((useconds_t)ld_rand_below(&rng, 1000000));
		ld_thaw(fleet.nodes[node]);
	}
}

static void
heal(enum fault f, int node)
{
	set_fault(FAULT_NONE);
	if (f != FAULT_NODE_KILLED)
		return;
	ld_fleet_start_node(&fleet, node);
	ld_session_expect(&fleet.s,
	    ld_fleet_wait_ready(&fleet, node) &&
		ld_fleet_wait_serving(&fleet, node),
	    "a killed node does not come back");
}

/* One try under a fault, compared with the ledger at the end. */
static void
one_try(struct attempt *a, enum fault f, const char *told_before)
{
	char text[200];
	pthread_t thread;
	unsigned int runs;

	set_fault(f);
	pthread_create(&thread, NULL, try_booking, a);
	hurt_node(f, a->node);
	pthread_join(thread, NULL);
	runs = runs_of(a);
	snprintf(text, sizeof(text),
	    "%s: %s at node %d: told %ld ran=%s (before: %s), %u runs", a->key,
	    fault_names[f], a->node, a->code, a->ran, told_before, runs);
	ld_session_expect(&fleet.s, runs <= 1, text);
	ld_session_expect(
	    &fleet.s, strcmp(a->ran, "no") != 0 || runs == 0, text);
	ld_session_expect(
	    &fleet.s, strcmp(a->ran, "yes") != 0 || runs == 1, text);
	heal(f, a->node);
}

static void
one_round(uint64_t seed, int round)
{
	struct attempt a = {.code = 0};
	char told[16] = "nothing";

	snprintf(a.key, sizeof(a.key), "key-%llu-%d", (unsigned long long)seed,
	    round);
	snprintf(a.body, sizeof(a.body), "{\"lot\":\"%s\"}", a.key);
	for (int i = 0; i < TRIES && strcmp(told, "yes") != 0; i++) {
		a.node = (int)ld_rand_below(&rng, (uint64_t)fleet.o.nodes);
		one_try(&a, (enum fault)ld_rand_below(&rng, FAULT_COUNT), told);
		snprintf(told, sizeof(told), "%s", a.ran);
	}
}

static void
test_repeats_through_any_node(void)
{
	ld_fleet_begin(&fleet, "booking-once",
	    &(struct ld_fleet_options){
		.nodes = 3, .replicas = 1, .members = 1});
	for (size_t i = 0; i < sizeof(seeds) / sizeof(seeds[0]); i++) {
		printf("seed %llu, %d bookings\n", (unsigned long long)seeds[i],
		    ROUNDS);
		ld_rand_seed(&rng, seeds[i]);
		for (int round = 0; round < ROUNDS; round++)
			one_round(seeds[i], round);
	}
	ld_fleet_end(&fleet);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"repeats through any node", test_repeats_through_any_node},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("bookings once", cases);
}
