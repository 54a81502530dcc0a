/* Syslog-style lines on standard error, with a bound on repeated lines. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ld_common.h"

#define LINE_BYTES 1024
#define IDENT_BYTES 64
/* Formats tracked at once; a slot is reused by a format that hashes to it. */
#define FLOOD_SLOTS 64

/** struct flood_slot - how often one format was written in this window */
struct flood_slot {
	const char *fmt;
	uint64_t window_start_ms;
	unsigned int written;
	unsigned int left_out;
};

static char log_ident[IDENT_BYTES] = "lavenderdrift";
static enum ld_log_level log_max = LD_LOG_INFO;
static struct flood_slot flood[FLOOD_SLOTS];

void
ld_log_init(const char *ident, enum ld_log_level max)
{
	snprintf(log_ident, sizeof(log_ident), "%s", ident);
	log_max = max;
}

static uint64_t
log_clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/* Returns false when the line must be left out; sets how many were before. */
static bool
flood_admit(const char *fmt, unsigned int *left_out)
{
	struct flood_slot *slot;
	uint64_t now = log_clock_ms();

	slot = &flood[((uintptr_t)fmt >> 3) % FLOOD_SLOTS];
	*left_out = 0;
	if (slot->fmt != fmt ||
	    now - slot->window_start_ms >= LD_LOG_WINDOW_MS) {
		if (slot->fmt == fmt)
			*left_out = slot->left_out;
		slot->fmt = fmt;
		slot->window_start_ms = now;
		slot->written = 0;
		slot->left_out = 0;
	}
	if (slot->written >= LD_LOG_BURST) {
		slot->left_out++;
		return false;
	}
	slot->written++;
	return true;
}

void
ld_log(enum ld_log_level level, const char *part, const char *fmt, ...)
{
	char text[LINE_BYTES];
	unsigned int left_out;
	va_list ap;

	if (level > log_max || !flood_admit(fmt, &left_out))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (left_out > 0)
		fprintf(stderr, "<%d>%s[%d]: %s: %s (%u like it left out)\n",
		    (int)level, log_ident, (int)getpid(), part, text, left_out);
	else
		fprintf(stderr, "<%d>%s[%d]: %s: %s\n", (int)level, log_ident,
		    (int)getpid(), part, text);
}
