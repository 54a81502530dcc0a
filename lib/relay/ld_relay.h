/*
 * A node that relays requests to backend servers according to the operators'
 * routes. Source: lib/relay.
 */
#ifndef LD_RELAY_H
#define LD_RELAY_H

#include "ld_dialect.h"
#include "ld_settings.h"

/**
 * ld_relay_serve() - run until SIGTERM or SIGINT and the shutdown that follows
 * @file: the settings file, reloaded when it changes
 * @settings: the settings loaded from @file; ownership passes to this function
 *
 * Return: LD_OK, or LD_E_IO when an address can't be bound.
 */
enum ld_status ld_relay_serve(const char *file,
    struct ld_relay_settings *settings, const struct ld_dialect *dialect);

#endif
