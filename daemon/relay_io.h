/* Runs a relay over the sockets of a process: sends and counts what it decides. */
#ifndef RELAY_IO_H
#define RELAY_IO_H

#include "link.h"

/* What every relay of a mesh must agree on. */
enum {
	RELAY_HEADS = 1,       /* children of one availability zone that a replica serves */
	RELAY_STAMP_MS = 1000, /* between stamps of a leader */
	RELAY_BATCH_MS = 100,  /* longest time a change of endpoints waits for others */
	RELAY_MAX_NEWS_BYTES = 1 << 20
};

/* Carries out an action that is the role's own: CONFIGURATION, ENDPOINTS, ANNOUNCED, CONFIRM or PARENT. */
typedef void (*relay_io_action_t)(void *data, const cw_relay_action_t *action);

typedef struct {
	cw_relay_t *relay;
	link_server_t *server;
	link_clients_t *clients;
	relay_io_action_t action;
	void *data;
} relay_io_t;

/* Gives an event to the relay and carries out its actions. */
void relay_io_step(relay_io_t *io, const cw_relay_event_t *event);
/* Takes a child's pull. */
void relay_io_pull(relay_io_t *io, GBytes *peer, const Caraway__Pull *pull);
/* Takes a parent's answer; counts what is none. */
void relay_io_answer(relay_io_t *io, const char *address, const Caraway__Message *message);
/* Lets the relay do what its clock asks for. */
void relay_io_tick(relay_io_t *io);

#endif
