/* Syslog-style lines on standard error, rate-limited per format string. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ld_common.h"

#define LINE_BYTES 1024
#define IDENT_BYTES 64
/* Formats tracked at once; on a hash collision the newer format takes over. */
#define RATE_SLOTS 64

/** struct rate_slot - lines of one format in the current window */
struct rate_slot {
	const char *fmt;
	uint64_t window_start_ms;
	unsigned int written;
	unsigned int suppressed;
};

static char log_ident[IDENT_BYTES] = "lavenderdrift";
static enum ld_log_level log_max = LD_LOG_INFO;
static struct rate_slot rate_slots[RATE_SLOTS];

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

/*
 * Returns false when the line must be suppressed; otherwise sets @suppressed to
 * the number of lines suppressed before it.
 */
static bool
rate_limit_allows(const char *fmt, unsigned int *suppressed)
{
	struct rate_slot *slot;
	uint64_t now = log_clock_ms();

	slot = &rate_slots[((uintptr_t)fmt >> 3) % RATE_SLOTS];
	*suppressed = 0;
	if (slot->fmt != fmt ||
	    now - slot->window_start_ms >= LD_LOG_WINDOW_MS) {
		if (slot->fmt == fmt)
			*suppressed = slot->suppressed;
		slot->fmt = fmt;
		slot->window_start_ms = now;
		slot->written = 0;
		slot->suppressed = 0;
	}
	if (slot->written >= LD_LOG_BURST) {
		slot->suppressed++;
		return false;
	}
	slot->written++;
	return true;
}

void
ld_log(enum ld_log_level level, const char *component, const char *fmt, ...)
{
	char text[LINE_BYTES];
	unsigned int suppressed;
	va_list ap;

	if (level > log_max || !rate_limit_allows(fmt, &suppressed))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (suppressed > 0)
		fprintf(stderr,
		    "<%d>%s[%d]: %s: %s (%u similar lines suppressed)\n",
		    (int)level, log_ident, (int)getpid(), component, text,
		    suppressed);
	else
		fprintf(stderr, "<%d>%s[%d]: %s: %s\n", (int)level, log_ident,
		    (int)getpid(), component, text);
}
