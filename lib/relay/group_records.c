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

/** struct members - the members that a record names, the head first */
struct members {
	const char *id[LD_GROUP_SIZE_MAX];
	const char *address[LD_GROUP_SIZE_MAX];
	uint32_t count;
};

/* "ID@ADDRESS"; splits @word. */
static bool
parse_member(char *word, struct members *out)
{
	char *at = strrchr(word, '@');
	struct ld_address a = {0};

	if (at == NULL || at == word || at - word >= LD_GROUP_NAME_MAX ||
	    out->count >= LD_GROUP_SIZE_MAX ||
	    ld_address_parse(ld_str_c(at + 1), &a) != LD_OK)
		return false;
	ld_address_fini(&a);
	*at = '\0';
	out->id[out->count] = word;
	out->address[out->count++] = at + 1;
	return true;
}

static bool
parse_epoch(const char *word, int64_t *out)
{
	char *end;

	errno = 0;
	*out = strtoll(word, &end, 10);
	return errno == 0 && end != word && *end == '\0' && *out >= 0;
}

/* Value: "EPOCH MODEL SERVICE ID@ADDRESS ID@ADDRESS ..", the head first. */
static bool
apply_members(struct leader_records *rs, const char *group, char *value)
{
	struct relay *r = rs->relay;
	struct ld_membership m = {
	    .group = (char *)group, .state = LD_MEMBER_READY};
	struct members members = {.count = 0};
	char *at = NULL, *epoch;
	const char *service;
	char *word;

	if (value == NULL)
		return true;
	epoch = strtok_r(value, " ", &at);
	m.model = strtok_r(NULL, " ", &at);
	service = strtok_r(NULL, " ", &at);
	if (service == NULL || !parse_epoch(epoch, &m.epoch) ||
	    strlen(m.model) >= LD_GROUP_NAME_MAX)
		return false;
	while ((word = strtok_r(NULL, " ", &at)) != NULL)
		if (!parse_member(word, &members))
			return false;
	for (; m.rank < members.count; m.rank++)
		ld_servers_add_unlisted(r->servers, members.id[m.rank],
		    members.address[m.rank], service, &m, relay_now(r));
	return members.count > 0;
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
