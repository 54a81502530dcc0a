/* Tells a node that has lost its path to all servers from failed servers. */
#include "ld_dispatch.h"

/* Failures count for this time, ms. */
#define FAILURE_MS 2500
/* Servers that must have failed, and of these that other nodes must hear. */
#define FAILED_MIN 3
#define HEARD_MIN 2
/* Other nodes hear a server if they received a byte within HEARD_MS, the longest
 * delay of reports, and HEARD_AFTER_MS after this node's last one: all servers
 * may be silent for a moment, which ends differently by some bytes. */
#define HEARD_MS 350
#define HEARD_AFTER_MS 150
/* Successful probes in a row after which the node uses servers again, and the
 * time that it stays isolated at least, ms. */
#define PROBES_MIN 3
#define ISOLATED_MIN_MS 1000

static void
drop_old(struct ld_reachability *r, uint64_t now_ms)
{
	size_t kept = 0;

	for (size_t i = 0; i < r->n; i++)
		if (now_ms < r->failures[i].at_ms + FAILURE_MS)
			r->failures[kept++] = r->failures[i];
	r->n = kept;
}

void
ld_reach_failed(struct ld_reachability *r, uint32_t server, bool connected,
    uint64_t since_ms, uint64_t now_ms)
{
	size_t i = 0;

	drop_old(r, now_ms);
	while (i < r->n &&
	    (r->failures[i].server != server ||
		r->failures[i].connected != connected))
		i++;
	if (i == LD_REACH_FAILURES_MAX)
		return;
	if (i == r->n)
		r->failures[r->n++] = (struct ld_reach_failure){
		    server, connected, since_ms, now_ms};
	else
		r->failures[i].at_ms = now_ms;
}

void
ld_reach_answered(struct ld_reachability *r, uint64_t sent_ms)
{
	for (size_t i = 0; i < r->n; i++)
		if (sent_ms >= r->failures[i].since_ms) {
			r->n = 0;
			return;
		}
}

void
ld_reach_heard(struct ld_reachability *r)
{
	size_t kept = 0;

	for (size_t i = 0; i < r->n; i++)
		if (!r->failures[i].connected)
			r->failures[kept++] = r->failures[i];
	r->n = kept;
}

/* Whether an earlier row names the same server, by the other kind of failure. */
static bool
is_repeated(const struct ld_reachability *r, size_t row)
{
	for (size_t i = 0; i < row; i++)
		if (r->failures[i].server == r->failures[row].server)
			return true;
	return false;
}

bool
ld_reach_is_suspected(const struct ld_reachability *r, uint64_t now_ms)
{
	size_t n = 0;

	for (size_t i = 0; i < r->n; i++)
		n += now_ms < r->failures[i].at_ms + FAILURE_MS &&
		    !is_repeated(r, i);
	return r->isolated || n > 1;
}

bool
ld_reach_evaluate(
    struct ld_reachability *r, struct ld_servers *servers, uint64_t now_ms)
{
	size_t failed = 0, heard = 0;

	if (r->isolated || r->n < FAILED_MIN)
		return false;
	drop_old(r, now_ms);
	for (size_t i = 0; i < r->n; i++) {
		const struct ld_server *s =
		    ld_servers_find_hash(servers, r->failures[i].server);

		if (is_repeated(r, i))
			continue;
		failed++;
		heard += s != NULL &&
		    s->peer_last_byte_ms >
			r->failures[i].since_ms + HEARD_AFTER_MS &&
		    now_ms < s->peer_last_byte_ms + HEARD_MS;
	}
	if (failed < FAILED_MIN || heard < HEARD_MIN)
		return false;
	r->isolated = true;
	r->since_ms = now_ms;
	r->probes_ok = 0;
	return true;
}

bool
ld_reach_probed(struct ld_reachability *r, bool answered, uint64_t now_ms)
{
	if (!r->isolated)
		return false;
	r->probes_ok = answered ? r->probes_ok + 1 : 0;
	if (r->probes_ok < PROBES_MIN || now_ms < r->since_ms + ISOLATED_MIN_MS)
		return false;
	r->isolated = false;
	r->since_ms = now_ms;
	r->n = 0;
	return true;
}
