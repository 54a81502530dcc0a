/*
 * Records of serving groups in the store: their members. A node that starts
 * discovers servers by their entries alone, but a member that is cut off from
 * the store has no entry while its group goes on serving. The records are
 * needed when all nodes lose power while a part of the servers is cut off.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "leader_records.h"

/** struct group_record - a parsed value: "EPOCH MODEL SERVICE ID@ADDRESS .." */
struct group_record {
	int64_t epoch;
	const char *model;
	const char *service;
	size_t member_count;
	struct {
		const char *id;
		const char *address;
	} members[LD_GROUP_SIZE_MAX]; /* the head first */
};

/* A value of another version begins with something else than a number. */
static bool
parse_epoch(const char *word, int64_t *out)
{
	char *end;

	if (word == NULL || *word < '0' || *word > '9')
		return false;
	errno = 0;
	*out = strtoll(word, &end, 10);
	return errno == 0 && *end == '\0';
}

/* "ID@ADDRESS"; splits @word at @at. */
static bool
parse_member(char *word, char *at, struct group_record *out)
{
	struct ld_address a = {0};

	if (at == word || at - word >= LD_GROUP_NAME_MAX ||
	    out->member_count >= LD_GROUP_SIZE_MAX ||
	    ld_address_parse(ld_str_c(at + 1), &a) != LD_OK)
		return false;
	ld_address_fini(&a);
	*at = '\0';
	out->members[out->member_count].id = word;
	out->members[out->member_count++].address = at + 1;
	return true;
}

/* Words that a later version adds hold no '@'; they are skipped. */
static bool
parse_record(char *value, struct group_record *out)
{
	char *rest = NULL, *word = strtok_r(value, " ", &rest);

	*out = (struct group_record){0};
	if (!parse_epoch(word, &out->epoch))
		return false;
	out->model = strtok_r(NULL, " ", &rest);
	out->service = strtok_r(NULL, " ", &rest);
	if (out->service == NULL || strlen(out->model) >= LD_GROUP_NAME_MAX)
		return false;
	while ((word = strtok_r(NULL, " ", &rest)) != NULL) {
		char *at = strrchr(word, '@');

		if (at != NULL && !parse_member(word, at, out))
			return false;
	}
	return out->member_count > 0;
}

static bool
apply_members(struct leader_records *rs, const char *group, char *value)
{
	struct relay *r = rs->relay;
	struct group_record record;
	struct ld_membership m = {
	    .group = (char *)group, .state = LD_MEMBER_READY};

	if (value == NULL)
		return true;
	if (!parse_record(value, &record))
		return false;
	m.epoch = record.epoch;
	m.model = (char *)record.model;
	for (; m.rank < record.member_count; m.rank++)
		ld_servers_add_unlisted(r->servers, record.members[m.rank].id,
		    record.members[m.rank].address, record.service, &m,
		    relay_now(r));
	return true;
}

static void
format_members(
    struct leader_records *rs, const void *item, struct ld_buf *value)
{
	struct relay *r = rs->relay;
	const struct ld_serving_group *g = item;

	ld_buf_printf(value, "%lld %s %s", (long long)g->epoch, g->model,
	    feed_engine_service(r)->name);
	for (size_t i = 0; i < g->member_count; i++) {
		const struct ld_server *v =
		    ld_servers_find(r->servers, ld_str_c(g->members[i]));

		if (v != NULL)
			ld_buf_printf(
			    value, " %s@%s", g->members[i], v->entry.address);
	}
}

static void
want_group(void *user, const struct ld_serving_group *g)
{
	leader_records_want(user, g->group, g);
}

static bool
each_serving_group(struct leader_records *rs)
{
	if (feed_engine_service(rs->relay) == NULL ||
	    !ld_groups_adopted(control_groups(rs->relay)))
		return false;
	ld_groups_each_serving(control_groups(rs->relay), want_group, rs);
	return true;
}

void
group_records_open(struct relay *r)
{
	static const struct leader_records_ops ops = {
	    .each_wanted = each_serving_group,
	    .format = format_members,
	    .apply = apply_members,
	};
	struct leader_records *rs = ld_alloc(sizeof(*rs));

	rs->ops = &ops;
	rs->relay = r;
	rs->prefix = RELAY_GROUPS_PREFIX;
	r->group_records = rs;
}

void
group_records_close(struct relay *r)
{
	leader_records_free(r->group_records);
}
