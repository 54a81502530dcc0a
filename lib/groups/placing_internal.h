/* Shared by what places servers into groups. */
#ifndef PLACING_INTERNAL_H
#define PLACING_INTERNAL_H

#include "groups_internal.h"

#define DOMAIN_SERVERS_MAX 256

/** struct free_servers - servers of one domain that are in no group */
struct free_servers {
	struct ld_server *v[DOMAIN_SERVERS_MAX];
	size_t n;
};

/** struct counts - groups by model, in the order of the engine's models */
struct counts {
	size_t n[LD_MODELS_MAX];
};

/**
 * struct plan - what a domain holds and should hold, in one look
 * @servers: that may be in a group
 * @groups: its groups that are not retired, by next_in_domain: a look over all groups
 *	for each domain would not be linear in the servers
 * @all: groups of all domains, kept up to date
 */
struct plan {
	const char *domain;
	size_t servers;
	struct free_servers *f;
	struct group *groups;
	struct counts target;
	struct counts have;
	struct counts *all;
};

/* ---- placing.c ---- */

/** count_free_holders() - free servers whose hosts hold the weights */
size_t count_free_holders(const struct free_servers *f, const char *model);

/** server_holds() - its host holds the weights of @model */
bool server_holds(const struct ld_server *v, const char *model);

/* ---- demand.c ---- */

/** count_group() - adds the group to @c if it serves or is about to */
void count_group(
    const struct step *s, const struct group *gr, struct counts *c);
/** work_of_group() - a group's part of the work if the model has @groups */
double work_of_group(const struct step *s, size_t model, size_t groups);
/** neediest() - model that fits into @room servers, -1 when none does */
int neediest(const struct step *s, const struct counts *have, size_t room);
/**
 * plan_lacks_holder() - the server holds weights of a model of which the domain
 * has too few groups
 */
bool plan_lacks_holder(
    const struct step *s, const struct plan *p, const struct ld_server *v);
/** target_of() - groups that a domain of @servers servers should hold */
struct counts target_of(const struct step *s, size_t servers);

/* ---- loads.c ---- */

void loads_refill(const struct step *s);
/**
 * loads_take() - whether @n loads may begin now; counts them
 *
 * Load: many servers without weights at once. The weight store has a rate at which
 * loads may begin, and beyond a number of them at a time each takes longer: all
 * would end late, where some could end soon.
 */
bool loads_take(const struct step *s, size_t n);
/** loads_are_idle() - few are under way: one that nothing waits for may begin */
bool loads_are_idle(const struct step *s);
/** loads_are_free() - the first start, before the weight store has callers */
bool loads_are_free(const struct step *s);

/* ---- regroup.c ---- */

/** usable_member() - a member that may be in the next group, or NULL */
struct ld_server *usable_member(
    const struct step *s, const struct group *gr, size_t i);

/** struct waiting - groups of a model in a domain that wait for a load */
struct waiting {
	size_t groups;
	size_t holders; /* their members, and free servers, with the weights */
	bool has_free_holder;
};

/** regroup_waiting() - groups of the model that wait in the domain */
struct waiting regroup_waiting(
    const struct step *s, const struct plan *p, size_t model);

/**
 * regroup() - dissolve groups that wait for a load, if their members that hold the
 * weights and free servers that do are enough for one
 *
 * Their members are added to the free servers, to form groups of.
 */
void regroup(const struct step *s, struct plan *p, size_t model);

/* ---- preempt.c ---- */

/** donor_is_closing() - a group of the domain ends, its servers are free soon */
bool donor_is_closing(const struct plan *p);
/**
 * donor_give_up() - end a small group whose hosts complete a group of @want
 *
 * Return: true when one ends: its servers are free soon.
 */
bool donor_give_up(const struct step *s, struct plan *p, size_t want);
/** donor_rebalance() - end groups that a domain should not hold, before traffic */
bool donor_rebalance(const struct step *s, struct plan *p);
/** donor_use_standby() - the same for a group that waits for a load */
bool donor_use_standby(const struct step *s, struct plan *p);

/* ---- standby.c ---- */

/** standby_count() - members whose hosts hold the weights of @model */
size_t standby_count(
    const struct step *s, const struct group *gr, const char *model);
/* Hosts in a domain: one for a loss, one for the next before a load has ended.
 * More of them would be missing in the small model's groups when servers are
 * restarted by turns, each of which comes back with what its host holds. */
#define STANDBY_HOSTS 2

/** standby_step() - have @hosts hosts of a small group load the largest model */
void standby_step(const struct step *s, const struct plan *p, size_t hosts);

/* ---- spares.c ---- */

/** spares_stage() - have the host load the weights, within the loads' rate */
void spares_stage(const struct step *s, struct ld_server *v, const char *model);
/** spares_still_loading() - it was told to load weights that it lacks yet */
bool spares_still_loading(const struct step *s, const struct ld_server *v);

/** spares_note_loading() - the server loads the weights already */
void spares_note_loading(
    const struct step *s, struct ld_server *v, const char *model);

/** spares_step() - have the free servers of a domain load weights */
void spares_step(const struct step *s, const struct plan *p);

#endif
