/* Structured log: key=value lines on standard output, bounded, non-blocking. */
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "ld_common.h"

/* Buffered output: what a busy node logs in several loop iterations. */
#define BUFFER_BYTES 65536
#define LINE_BYTES 768
/* PIPE_BUF: a pipe accepts this much in one write, or polls as full. */
#define WRITE_BYTES 4096

static char buffer[BUFFER_BYTES];
static size_t buffer_used;
static unsigned long dropped_unreported; /* not in a log.dropped line yet */
static unsigned long dropped_total;

static uint64_t
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static bool
buffer_append(const char *line, size_t n)
{
	if (n > BUFFER_BYTES - buffer_used)
		return false;
	memcpy(buffer + buffer_used, line, n);
	buffer_used += n;
	return true;
}

static void
count_dropped(void)
{
	dropped_unreported++;
	dropped_total++;
}

void
ld_event(const char *name, const char *fmt, ...)
{
	char line[LINE_BYTES];
	va_list ap;
	int n, m;

	n = snprintf(line, sizeof(line), "t=%llu event=%s ",
	    (unsigned long long)wall_ms(), name);
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
	va_end(ap);
	n += m;
	if (n > LINE_BYTES - 2)
		n = LINE_BYTES - 2;
	line[n++] = '\n';
	if (!buffer_append(line, (size_t)n))
		count_dropped();
}

unsigned long
ld_event_dropped(void)
{
	return dropped_total;
}

void
ld_event_flush(void)
{
	struct pollfd p = {.fd = STDOUT_FILENO, .events = POLLOUT};
	char line[64];
	ssize_t n;

	while (buffer_used > 0 && poll(&p, 1, 0) == 1 &&
	    (p.revents & POLLOUT) != 0) {
		n = write(STDOUT_FILENO, buffer,
		    buffer_used < WRITE_BYTES ? buffer_used : WRITE_BYTES);
		if (n <= 0)
			break;
		buffer_used -= (size_t)n;
		memmove(buffer, buffer + n, buffer_used);
	}
	if (dropped_unreported == 0 || buffer_used > BUFFER_BYTES / 2)
		return;
	n = snprintf(line, sizeof(line), "t=%llu event=log.dropped lines=%lu\n",
	    (unsigned long long)wall_ms(), dropped_unreported);
	if (buffer_append(line, (size_t)n))
		dropped_unreported = 0;
}

const char *
ld_event_token(struct ld_str s, char out[LD_EVENT_TOKEN_BYTES])
{
	size_t n = 0;

	for (size_t i = 0; i < s.len && n < LD_EVENT_TOKEN_BYTES - 1; i++) {
		char c = s.p[i];

		out[n++] = c > ' ' && c < 127 && c != '"' && c != '=' ? c : '?';
	}
	if (n == 0)
		out[n++] = '-';
	out[n] = '\0';
	return out;
}
