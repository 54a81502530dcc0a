/* Internal declarations of placement: which servers form or join groups. */
#ifndef PLACING_INTERNAL_H
#define PLACING_INTERNAL_H

#include "groups_internal.h"

#define DOMAIN_SERVERS_MAX 256

/**
 * struct free_servers - servers of one domain that are available for a group
 */
struct free_servers {
	struct ld_server *v[DOMAIN_SERVERS_MAX];
	size_t n;
};

/** struct counts - counts by model, indexed like the engine's models */
struct counts {
	size_t n[LD_MODELS_MAX];
};

/**
 * struct plan - current and target groups of one domain
 * @servers: servers that may be in a group
 * @groups: groups of the domain that are not retired, linked by next_in_domain;
 *	scanning all groups for each domain would not be linear in the servers
 * @target: groups that the domain should have
 * @have: groups that it has, updated as groups are formed and closed
 * @all: groups of all domains, updated likewise
 */
struct plan {
	const char *domain;
	size_t servers;
	struct free_servers *free;
	struct group *groups;
	struct counts target;
	struct counts have;
	struct counts *all;
};

/* ---- placing.c ---- */

/** count_free_with_weights() - free servers that have the weights of @model */
size_t count_free_with_weights(const struct free_servers *f, const char *model);

/** server_has_weights() - the server's host has the weights of @model */
bool server_has_weights(const struct ld_server *v, const char *model);

/* ---- demand.c ---- */

/** count_group() - add the group to @c if it is in service or about to be */
void count_group(
    const struct tick *s, const struct group *gr, struct counts *c);
/**
 * work_per_group() - work of one group if the model had @groups groups
 *
 * Relative to the work of the service and to the size of the group.
 */
double work_per_group(const struct tick *s, size_t model, size_t groups);
/**
 * busiest_model() - the model with most work per group after one more group
 *
 * Considers models whose groups fit into @room servers; -1 when none does.
 */
int busiest_model(const struct tick *s, const struct counts *have, size_t room);
/**
 * plan_needs_server() - the server has the weights of a model of which the
 * domain has fewer groups than its target
 */
bool plan_needs_server(
    const struct tick *s, const struct plan *p, const struct ld_server *v);
/** target_groups() - groups that a domain of @servers servers should have */
struct counts target_groups(const struct tick *s, size_t servers);

/* ---- loads.c ---- */

/** loads_refill() - refill the token bucket of loads */
void loads_refill(const struct tick *s);
/**
 * loads_reserve() - whether @n loads may start now; if so, reserves them
 *
 * Limits the loads when many servers lack weights at once. The weight store
 * limits the rate of new loads, and above a number of concurrent loads each
 * takes longer: all would finish late, where some could finish early.
 */
bool loads_reserve(const struct tick *s, size_t n);
/**
 * loads_have_slack() - few loads are in progress: one that no group waits for
 * may start
 */
bool loads_have_slack(const struct tick *s);
/**
 * loads_are_unlimited() - the limits of loads don't apply yet
 *
 * At the first start of the system, before any client traffic.
 */
bool loads_are_unlimited(const struct tick *s);

/* ---- regroup.c ---- */

/**
 * usable_member() - member @i if it may become part of another group, or NULL
 */
struct ld_server *usable_member(
    const struct tick *s, const struct group *gr, size_t i);

/** struct waiting_groups - groups of a model in a domain that wait for loads */
struct waiting_groups {
	size_t groups;
	size_t with_weights; /* of their members and the free servers */
	bool has_free_server;
};

/** regroup_count_waiting() - groups of the model that wait in the domain */
struct waiting_groups regroup_count_waiting(
    const struct tick *s, const struct plan *p, size_t model);

/**
 * regroup() - dissolve groups that wait for loads, if those of their members
 * and of the free servers that have the weights suffice for one group
 *
 * Adds their members to the free servers, from which groups are then formed.
 */
void regroup(const struct tick *s, struct plan *p, size_t model);

/* ---- preempt.c ---- */

/** has_closing_group() - a group of the domain closes, freeing servers soon */
bool has_closing_group(const struct tick *s, const struct plan *p);
/**
 * preempt_for_target() - close a small group whose hosts complete one of @want
 *
 * Return: true when one closes: its servers are free soon.
 */
bool preempt_for_target(const struct tick *s, struct plan *p, size_t want);
/**
 * preempt_excess() - before client traffic: close groups beyond the target
 *
 * Return: true when any closes.
 */
bool preempt_excess(const struct tick *s, struct plan *p);
/**
 * preempt_for_standby() - close a small group whose hosts complete a group that
 * waits for loads
 *
 * Return: true when one closes: its servers are free soon.
 */
bool preempt_for_standby(const struct tick *s, struct plan *p);

/* ---- standby.c ---- */

/** standby_count() - usable members whose hosts have the weights of @model */
size_t standby_count(
    const struct tick *s, const struct group *gr, const char *model);
/* Standby hosts in a domain: one for a loss, and one for a second loss before a
 * load has finished. With more, groups of the small model would lack servers
 * during a rolling restart: each server returns with the weights that its host
 * has. */
#define STANDBY_HOSTS 2

/** standby_step() - stage the largest model on @hosts hosts of a small group */
void standby_step(const struct tick *s, const struct plan *p, size_t hosts);

/* ---- spares.c ---- */

/**
 * spares_stage() - order the host to load the weights, if the limits allow it
 */
void spares_stage(const struct tick *s, struct ld_server *v, const char *model);
/**
 * spares_still_loading() - the host doesn't have the weights ordered last yet
 */
bool spares_still_loading(const struct tick *s, const struct ld_server *v);

/** spares_note_loading() - record that the server is loading the weights */
void spares_note_loading(
    const struct tick *s, struct ld_server *v, const char *model);

/** spares_step() - stage weights on the free servers of a domain */
void spares_step(const struct tick *s, const struct plan *p);

#endif
