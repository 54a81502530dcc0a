/* Status names and the last failure message. */
#include <stdarg.h>
#include <stdio.h>

#include "ld_common.h"

#define LAST_MESSAGE_BYTES 512

static char last_message[LAST_MESSAGE_BYTES];

static const char *const status_names[LD_STATUS_COUNT] = {
    [LD_OK] = "ok",
    [LD_E_INVALID] = "invalid",
    [LD_E_TOO_LARGE] = "too-large",
    [LD_E_NOT_FOUND] = "not-found",
    [LD_E_CONFLICT] = "conflict",
    [LD_E_TIMEOUT] = "timeout",
    [LD_E_UNAVAILABLE] = "unavailable",
    [LD_E_STALE] = "stale",
    [LD_E_AUTH] = "auth",
    [LD_E_REPLAY] = "replay",
    [LD_E_IO] = "io",
    [LD_E_CLOSED] = "closed",
    [LD_E_LIMIT] = "limit",
    [LD_E_AGAIN] = "again",
    [LD_E_PROTOCOL] = "protocol",
    [LD_E_UNKNOWN] = "unknown",
};

enum ld_status
ld_fail(enum ld_status st, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, ap);
	va_end(ap);
	return st;
}

const char *
ld_last_message(void)
{
	return last_message;
}

const char *
ld_status_name(enum ld_status st)
{
	if ((unsigned int)st >= LD_STATUS_COUNT)
		return "unnamed";
	return status_names[st];
}
