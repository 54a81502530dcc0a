/* "Not run" is true, and a booking runs at most once, by the service's ledger. */
#include <string.h>
#include <unistd.h>

#include "ld_fleet.h"
#include "ld_test.h"

#define BOOKING_TIMEOUT_MS 15000

static struct ld_fleet fleet;
static unsigned int lots;

/** struct booking - one booking, the answer to its caller and what ran */
struct booking {
	char body[64];
	long code;
	char ran[16]; /* of the problem document, or "yes" */
	unsigned int runs;
};

static void
copy_ran(const struct ld_reply *r, char out[16])
{
	json_t *j = ld_reply_json(r);
	const char *ran = json_string_value(json_object_get(j, "ran"));

	/* An answer of the service itself carries a header instead. */
	if (!r->ok)
		ran = "unknown";
	else if (strcasestr(r->head.p, "\nX-Ran: yes") != NULL)
		ran = r->code < 300 ? "yes" : "answered";
	snprintf(out, 16, "%s", ran != NULL ? ran : "missing");
	json_decref(j);
}

static void
book(struct booking *b, int node, const char *key)
{
	char header[96];
	struct ld_reply r;

	if (b->body[0] == '\0')
		snprintf(
		    b->body, sizeof(b->body), "{\"lot\":\"lot-%u\"}", ++lots);
	snprintf(header, sizeof(header), "Idempotency-Key: %s",
	    key != NULL ? key : "");
	ld_call(&fleet.s,
	    &(struct ld_call){
		.address = fleet.nodes[node]->address,
		.path = "/services/stock/transfers",
		.key = LD_FLEET_SHOP_KEY,
		.header = key != NULL ? header : NULL,
		.body = b->body,
		.timeout_ms = BOOKING_TIMEOUT_MS,
	    },
	    &r);
	b->code = r.code;
	copy_ran(&r, b->ran);
	ld_reply_free(&r);
	b->runs =
	    ld_ledger_count(&fleet.s, fleet.service->address, "body", b->body);
}

/* The answer to the caller must agree with the ledger. */
static void
expect_truth(const struct booking *b, const char *what)
{
	char text[160];

	snprintf(text, sizeof(text), "%s: told %ld ran=%s, ledger has %u runs",
	    what, b->code, b->ran, b->runs);
	ld_session_expect(&fleet.s, b->runs <= 1, text);
	ld_session_expect(
	    &fleet.s, strcmp(b->ran, "no") != 0 || b->runs == 0, text);
	ld_session_expect(
	    &fleet.s, strcmp(b->ran, "yes") != 0 || b->runs == 1, text);
	ld_session_expect(&fleet.s, strcmp(b->ran, "missing") != 0, text);
}

/* For steps that give the caller the same answer each time. */
static void
note_booking(const struct booking *b, const char *what)
{
	ld_note(&fleet.s, "%s: told %ld ran=%s, ledger has %u runs", what,
	    b->code, b->ran, b->runs);
}

static void
book_under(const char *fault, const char *what)
{
	struct booking b = {0};

	ld_fault(&fleet.s, fleet.service->address, fault);
	book(&b, 0, NULL);
	expect_truth(&b, what);
	note_booking(&b, what);
	ld_fault(&fleet.s, fleet.service->address, "{\"mode\":\"ok\"}");
}

static void
mode(const char *body)
{
	struct ld_reply r;

	ld_call(&fleet.s,
	    &(struct ld_call){.address = fleet.forward_control,
		.path = "/mode",
		.body = body},
	    &r);
	ld_session_expect(&fleet.s, r.code == 200, "the mode was not set");
	ld_reply_free(&r);
}

static void
book_through(const char *forward_mode, const char *what)
{
	struct booking b = {0};

	mode(forward_mode);
	book(&b, 1, NULL);
	/* Whether bytes were sent before the cut was detected is up to TCP. */
	expect_truth(&b, what);
	mode("{\"mode\":\"pass\"}");
}

/* Each step at which the service or the way to it can break. */
static void
test_told_is_true_at_each_step(void)
{
	struct booking b = {0};

	ld_fleet_begin(&fleet, "booking-steps",
	    &(struct ld_fleet_options){.service_through = true});
	book_under("{\"mode\":\"ok\"}", "no fault");
	book_under("{\"mode\":\"cut-before-run\"}", "cut before the run");
	book_under("{\"mode\":\"cut-after-run\"}", "cut after the run");
	book_under("{\"mode\":\"error\"}", "an error answer");
	book_under("{\"mode\":\"hang-before\"}", "silent before the run");
	book_under("{\"mode\":\"hang-after-run\"}", "silent after the run");
	book_through("{\"mode\":\"cut\"}", "the way is cut");
	book_through("{\"mode\":\"silent-all\"}", "the way is silent");
	ld_kill(fleet.forward);
	book(&b, 0, NULL);
	expect_truth(&b, "nobody listens");
	note_booking(&b, "nobody listens");
	ld_golden(&fleet.s);
	ld_fleet_end(&fleet);
}

/* An idempotent lookup gets its answer from a second try. */
static void
test_lookup_is_repeated(void)
{
	struct ld_reply r;

	ld_fleet_begin(&fleet, "lookup", &(struct ld_fleet_options){0});
	ld_fault(&fleet.s, fleet.service->address,
	    "{\"mode\":\"cut-before-run\",\"count\":1}");
	ld_call(&fleet.s,
	    &(struct ld_call){
		.address = fleet.nodes[0]->address,
		.path = "/services/stock/status/lot-9",
		.key = LD_FLEET_SHOP_KEY,
	    },
	    &r);
	ld_session_expect(&fleet.s, r.ok && r.code == 200,
	    "the lookup was not repeated after a cut");
	ld_reply_free(&r);
	ld_fleet_end(&fleet);
}

/* The node dies at a random moment of a booking; the ledger has one run. */
static void
test_killed_node_books_once(void)
{
	ld_fleet_begin(&fleet, "booking-kill", &(struct ld_fleet_options){0});
	for (int i = 0; i < 3; i++) {
		struct booking b = {0};

		ld_fault(&fleet.s, fleet.service->address,
		    "{\"mode\":\"cut-after-run\",\"count\":1}");
		book(&b, 0, NULL);
		expect_truth(&b, "before the kill");
		ld_kill(fleet.nodes[0]);
		ld_fleet_start_node(&fleet, 0);
		ld_session_expect(&fleet.s, ld_fleet_wait_ready(&fleet, 0),
		    "the node does not come back");
	}
	ld_fleet_end(&fleet);
}

int
main(void)
{
	static const struct ld_test_case cases[] = {
	    {"what is told is true at each step",
		test_told_is_true_at_each_step},
	    {"a lookup is repeated", test_lookup_is_repeated},
	    {"a killed node books once", test_killed_node_books_once},
	    {NULL, NULL},
	};

	if (ld_common_init() != LD_OK)
		return 2;
	return ld_test_main("booking", cases);
}
