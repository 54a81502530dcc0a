/*
 * The pace of a server, learned from the times of its answers.
 * Source: lib/pace.
 */
#ifndef LD_PACE_H
#define LD_PACE_H

#include "ld_common.h"

#define LD_PACE_SAMPLES 16

/**
 * struct ld_pace - recent samples of one server; zero-initialised: none
 * @log_ratio: logarithm of measured over expected time
 * @at_ms: when the sample was taken, 0: free
 * @next: slot of the next sample
 * @newest_ms: time of the newest sample, 0: none
 */
struct ld_pace {
	float log_ratio[LD_PACE_SAMPLES];
	uint64_t at_ms[LD_PACE_SAMPLES];
	size_t next;
	uint64_t newest_ms;
};

/** ld_pace_add() - a time was measured; ignored unless both are above 0 */
void ld_pace_add(
    struct ld_pace *p, double expected_ms, double actual_ms, uint64_t now_ms);
/**
 * ld_pace_factor() - how much longer the server takes than expected
 *
 * Return: 1 as expected or unknown, 2 twice as long; within [0.5, 16].
 */
double ld_pace_factor(const struct ld_pace *p, uint64_t now_ms);
/** ld_pace_certainty() - 0 to 1: how far recent samples support the factor */
double ld_pace_certainty(const struct ld_pace *p, uint64_t now_ms);
/** ld_pace_reset() - the server has restarted: nothing is known */
void ld_pace_reset(struct ld_pace *p);
/**
 * ld_pace_relative() - the factor of @p against the median of those in @all that
 * are known
 * @all: the servers of one service and model, @p among them
 *
 * Return: 1 if @p or the others are unknown; within [0.5, 16].
 */
double ld_pace_relative(const struct ld_pace *const *all, size_t n,
    const struct ld_pace *p, uint64_t now_ms);

#endif
