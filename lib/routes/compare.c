/* What changes between two configurations. */
#include <stdio.h>
#include <string.h>

#include "ld_routes_check.h"

#define MEMBERS_BYTES 128

/* ---- Routes ---- */

static const struct ld_route_rule *
find_rule(const struct ld_routes *r, const struct ld_route_rule *like)
{
	const struct ld_route_rule *rule =
	    ld_routes_match(r, ld_str_c(like->host), ld_str_c(like->prefix));

	return rule != NULL && strcmp(rule->prefix, like->prefix) == 0 ? rule
								       : NULL;
}

static void
describe_rule(const struct ld_route_rule *rule, struct ld_buf *out)
{
	out->len = 0;
	ld_buf_printf(out, "route %s (%s%s)",
	    rule->name != NULL ? rule->name : "-", rule->host, rule->prefix);
}

static bool
same_shares(const struct ld_route_rule *a, const struct ld_route_rule *b)
{
	if (a->share_count != b->share_count)
		return false;
	for (size_t i = 0; i < a->share_count; i++)
		if (a->shares[i].weight != b->shares[i].weight ||
		    strcmp(a->shares[i].service, b->shares[i].service) != 0)
			return false;
	return true;
}

static void
add_member(char out[MEMBERS_BYTES], bool differs, const char *name)
{
	size_t n = strlen(out);

	if (differs)
		snprintf(out + n, MEMBERS_BYTES - n, "%s%s", n > 0 ? ", " : "",
		    name);
}

static void
list_changed_members(const struct ld_route_rule *a,
    const struct ld_route_rule *b, char out[MEMBERS_BYTES])
{
	out[0] = '\0';
	add_member(out, !same_shares(a, b), "services");
	add_member(out, a->kind != b->kind, "kind");
	add_member(out, a->resumable != b->resumable, "resumable");
	add_member(out, a->anonymous != b->anonymous, "anonymous");
	add_member(out, a->model != b->model, "model");
	add_member(out, a->timeout_ms != b->timeout_ms, "timeout");
	add_member(
	    out, a->objective_ms != b->objective_ms, "latency objective");
	add_member(out, a->gap_ms != b->gap_ms, "gap objective");
	add_member(out, a->priority != b->priority, "priority");
	add_member(out, a->attempts != b->attempts, "attempts");
}

/* Requests of a removed route may match a shorter prefix. */
static void
note_removed_rule(const struct ld_routes *after,
    const struct ld_route_rule *rule, const char *where,
    struct ld_routes_findings *f)
{
	const struct ld_route_rule *next = ld_routes_match(
	    after, ld_str_c(rule->host), ld_str_c(rule->prefix));

	if (next == NULL)
		ld_routes_find(f, true, "route-removed", where,
		    "removed: its requests get 404");
	else
		ld_routes_find(f, false, "route-removed", where,
		    "removed: its requests match %s%s", next->host,
		    next->prefix);
}

static void
compare_rules(const struct ld_routes *before, const struct ld_routes *after,
    struct ld_routes_findings *f)
{
	struct ld_buf where = {0};
	char members[MEMBERS_BYTES];

	for (size_t i = 0; i < before->rule_count; i++) {
		const struct ld_route_rule *a = &before->rules[i], *b;

		if (find_rule(before, a) != a)
			continue;
		describe_rule(a, &where);
		b = find_rule(after, a);
		if (b == NULL) {
			note_removed_rule(after, a, ld_buf_cstr(&where), f);
			continue;
		}
		list_changed_members(a, b, members);
		if (members[0] != '\0')
			ld_routes_find(f, false, "route-changed",
			    ld_buf_cstr(&where), "%s", members);
		if (a->anonymous && !b->anonymous && after->account_count > 0)
			ld_routes_find(f, true, "route-closed",
			    ld_buf_cstr(&where),
			    "needs a key now: requests without one get 401");
	}
	for (size_t i = 0; i < after->rule_count; i++) {
		if (find_rule(before, &after->rules[i]) != NULL)
			continue;
		describe_rule(&after->rules[i], &where);
		ld_routes_find(
		    f, false, "route-added", ld_buf_cstr(&where), "added");
	}
	ld_buf_free(&where);
}

/* ---- Services ---- */

static void
note_missing_services(const struct ld_routes *of, const struct ld_routes *in,
    const char *code, const char *what, struct ld_routes_findings *f)
{
	struct ld_buf where = {0};

	for (size_t i = 0; i < of->service_count; i++) {
		const char *name = of->services[i].name;

		if (ld_routes_service(in, ld_str_c(name)) != NULL)
			continue;
		where.len = 0;
		ld_buf_printf(&where, "service %s", name);
		ld_routes_find(f, false, code, ld_buf_cstr(&where), "%s", what);
	}
	ld_buf_free(&where);
}

/* ---- Client accounts ---- */

static const struct ld_account *
find_account(const struct ld_routes *r, const char *name)
{
	for (size_t i = 0; i < r->account_count; i++)
		if (strcmp(r->accounts[i].name, name) == 0)
			return &r->accounts[i];
	return NULL;
}

/* Keys of one account, by what becomes of them. */
static void
compare_keys(const struct ld_routes *before, size_t account,
    const struct ld_routes *after, const char *where,
    struct ld_routes_findings *f)
{
	size_t revoked = 0, moved = 0;

	for (size_t i = 0; i < before->key_count; i++) {
		const struct ld_account *now;

		if (before->keys[i].account != account)
			continue;
		now = ld_routes_account(after, ld_str_c(before->keys[i].key));
		revoked += now == NULL;
		moved += now != NULL &&
		    strcmp(now->name, before->accounts[account].name) != 0;
	}
	if (revoked > 0)
		ld_routes_find(f, true, "keys-revoked", where,
		    "%zu of its keys are taken away", revoked);
	if (moved > 0)
		ld_routes_find(f, true, "keys-moved", where,
		    "%zu of its keys go to other accounts", moved);
}

static void
compare_accounts(const struct ld_routes *before, const struct ld_routes *after,
    struct ld_routes_findings *f)
{
	struct ld_buf where = {0};

	for (size_t i = 0; i < before->account_count; i++) {
		const struct ld_account *a = &before->accounts[i], *b;

		where.len = 0;
		ld_buf_printf(&where, "account %s", a->name);
		b = find_account(after, a->name);
		if (b == NULL)
			ld_routes_find(f, false, "account-removed",
			    ld_buf_cstr(&where), "removed");
		else if (a->priority != b->priority)
			ld_routes_find(f, false, "account-changed",
			    ld_buf_cstr(&where), "priority %d, before %d",
			    b->priority, a->priority);
		compare_keys(before, i, after, ld_buf_cstr(&where), f);
	}
	for (size_t i = 0; i < after->account_count; i++) {
		if (find_account(before, after->accounts[i].name) != NULL)
			continue;
		where.len = 0;
		ld_buf_printf(&where, "account %s", after->accounts[i].name);
		ld_routes_find(
		    f, false, "account-added", ld_buf_cstr(&where), "added");
	}
	ld_buf_free(&where);
}

void
ld_routes_compare(const struct ld_routes *before, const struct ld_routes *after,
    struct ld_routes_findings *f)
{
	if (after->version <= before->version)
		ld_routes_find(f, true, "version-not-higher", "version",
		    "%lld is not above %lld: nodes keep the one in force",
		    (long long)after->version, (long long)before->version);
	compare_rules(before, after, f);
	note_missing_services(before, after, "service-removed", "removed", f);
	note_missing_services(after, before, "service-added", "added", f);
	compare_accounts(before, after, f);
	if (memcmp(&before->bounds, &after->bounds, sizeof(before->bounds)) !=
	    0)
		ld_routes_find(f, false, "limits-changed", "limits", "changed");
}
