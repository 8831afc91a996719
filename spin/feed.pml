/*
 * The configuration feed: staging and activation of changes, proxies that
 * restart without stored state, stale parents, and the floor.
 *
 * The leading control replica, LEADER, commits entries: odd entries stage the
 * content of a change, even entries activate it.  A second control replica,
 * REPLICA, may lose its connection to the leader, or receive the leader's
 * stamps without its entries.  Two proxies pull updates from LEADER, REPLICA
 * or each other, may restart with empty state, and may be sent updates that
 * are damaged, duplicated, delayed, or meant for their previous incarnation.
 *
 * Properties: a proxy never uses a version below one that its VM has used
 * before (checked with FLOOR); it uses a version only if it has the complete
 * content of every change up to it; and once the leader stops committing and
 * the proxies stop restarting, both use the last version from then on
 * (CONVERGE, under weak fairness).
 *
 * The floor is the position that was committed when a restarted proxy asked
 * for it; the proxy may use its configuration once it has reached that
 * position.  Floor requests are numbered.  A node that forwards the floor
 * requests of its children has at most one request of its own pending; the
 * answer to it answers those that had arrived before it was sent.
 *
 * Mutations that must be refuted: NO_FLOOR (a restarted proxy uses its
 * configuration without a floor), ANSWER_LATER_REQUESTS (an answer also
 * answers requests that arrived after its own request was sent),
 * UNCONFIRMED_FLOOR (a replica answers with its own position instead of asking
 * the leader), ACCEPT_OUTDATED_ANSWER (an answer to the previous incarnation
 * sets the floor), ACCEPT_DAMAGED (damaged content is accepted); and with
 * CONVERGE: NO_FRESHNESS (a proxy never leaves a stale parent), STAMPS_ONLY
 * (a parent that passes on stamps without entries counts as fresh).
 * REACH_LAST_VERSION claims that no restarted proxy ever uses the last
 * version; it must be refuted, or the bounds are too small for the other
 * results to mean anything.
 */
#ifndef ENTRIES
#define ENTRIES 2	/* highest number of entries committed */
#endif
#ifndef RESTARTS
#define RESTARTS 1	/* most restarts of each proxy */
#endif

#ifndef FLOOR_REQUESTS
#define FLOOR_REQUESTS 3	/* most floor requests that one node sends */
#endif
#define PARENT_CHANGES 1	/* most changes of parent without a fault, by each proxy */

/*
 * Two separate models, since one that combines them has too many states.  With
 * FLOOR, each entry is a complete version and updates are never damaged.
 * Without it, the floor is known from the start, entries alternately stage and
 * activate, and versions may go back.
 */
#ifdef FLOOR
#define VERSION_AT(position) (position)
#define FLOOR_KNOWN_AT_START false
#define FLOOR_MODEL true
#define MAY_DAMAGE(n) false
#define CHECK_VERSION(n) assert(node[n].version >= node[n].highest_version)
#else
#define VERSION_AT(position) ((position) / 2)
#define FLOOR_KNOWN_AT_START true
#define FLOOR_MODEL false
#define MAY_DAMAGE(n) (node[n].parent != LEADER)
#define CHECK_VERSION(n) \
	assert(node[n].version < 1 || (node[n].complete & 1)); \
	assert(node[n].version < 2 || (node[n].complete & 2))
#endif

#define LEADER 0
#define REPLICA 1
#define PROXY_A 2
#define PROXY_B 3
#define NODES 4
#define IS_PROXY(n) ((n) >= PROXY_A)
#define OTHER_PROXY(n) (PROXY_A + PROXY_B - (n))

#define HEALTHY 0
#define ISOLATED 1	/* receives nothing from the leader */
#define LAGGING 2	/* receives the leader's stamps but not its entries */

typedef node_t {
	byte incarnation;	/* number of process starts on this VM */
	byte position;		/* last entry held */
	byte complete;		/* bit per change: its complete content is held */
	byte version;		/* in use; 0: none */
	byte highest_version;	/* highest that any incarnation on this VM has used */
	byte parent;
	bool floor_known;
	byte floor;
	byte floor_request;	/* number of the pending request to the parent; 0: none */
	byte last_floor_request; /* number of the newest request */
	byte pending[NODES];	/* by child: number of its request that waits here; 0: none */
	byte covers[NODES]	/* by child: its request that floor_request stands for; 0: none */
};

/* An update in flight to a proxy. */
typedef update_t {
	bool valid;
	bool damaged;
	byte incarnation;	/* of the proxy that pulled */
	byte previous;		/* position that it follows */
	byte last		/* position that it leads to */
};

/* The answer to a floor request, in flight to a node. */
typedef answer_t {
	byte number;		/* of the request; 0: no answer in flight */
	byte floor
};

node_t node[NODES];
update_t update[NODES];
answer_t answer[NODES];
byte replica_fault;

#define POSITION_OF(n) (n == LEADER -> node[LEADER].position : node[n].position)

/* Freshness by stamps: every node on the path from the parent to the leader passes stamps on. */
#define REPLICA_IS_FRESH (replica_fault == HEALTHY || (replica_fault == LAGGING))
#define PARENT_IS_FRESH_REPLICA(n) \
	(node[n].parent == LEADER || (node[n].parent == REPLICA && REPLICA_IS_FRESH))
#define PARENT_IS_FRESH(n) \
	(PARENT_IS_FRESH_REPLICA(n) || (IS_PROXY(node[n].parent) && PARENT_IS_FRESH_REPLICA(OTHER_PROXY(n))))

/* The leader has committed entries that neither the parent nor the node holds. */
#define PARENT_IS_BEHIND(n) \
	(POSITION_OF(node[n].parent) <= node[n].position && node[n].position < node[LEADER].position)

/* Uses the configuration held, once it has reached the floor, and checks the properties. */
inline use_configuration(n) {
	if
#ifdef NO_FLOOR
	:: VERSION_AT(node[n].position) > 0 ->
#else
	:: VERSION_AT(node[n].position) > 0 && node[n].floor_known && node[n].position >= node[n].floor ->
#endif
		node[n].version = VERSION_AT(node[n].position);
		CHECK_VERSION(n);
		node[n].highest_version = node[n].version
	:: else -> skip
	fi
}

/* Cancels the pending floor request; it is sent again to the next parent. */
inline cancel_floor_request(n) {
	node[n].floor_request = 0;
	node[n].covers[PROXY_A] = 0;
	node[n].covers[PROXY_B] = 0
}

/* Replaces the parent by the next of LEADER, REPLICA and the other proxy. */
inline leave_parent(n) {
	if
	:: node[n].parent == LEADER -> node[n].parent = REPLICA
	:: node[n].parent == REPLICA -> node[n].parent = OTHER_PROXY(n)
	:: else -> node[n].parent = LEADER
	fi;
	cancel_floor_request(n)
}

#define UPDATE_FOLLOWS(n) \
	(update[n].incarnation == node[n].incarnation && update[n].previous <= node[n].position && \
	 update[n].last > node[n].position)

/* Applies the update in flight, if it is for this incarnation and extends what it holds. */
inline apply_update(n) {
	if
	:: !UPDATE_FOLLOWS(n) -> skip
#ifndef ACCEPT_DAMAGED
	:: UPDATE_FOLLOWS(n) && update[n].damaged -> leave_parent(n)
	:: UPDATE_FOLLOWS(n) && !update[n].damaged ->
#else
	:: UPDATE_FOLLOWS(n) ->
#endif
		do
		:: node[n].position < update[n].last ->
			node[n].position++;
			if
			:: !FLOOR_MODEL && (node[n].position & 1) && !update[n].damaged ->
				node[n].complete = node[n].complete | (1 << VERSION_AT(node[n].position))
			:: else -> skip
			fi
		:: else -> break
		od;
		use_configuration(n)
	fi
}

/* Removes the update from the network. */
inline remove_update(n) {
	update[n].valid = false;
	update[n].damaged = false;
	update[n].incarnation = 0;
	update[n].previous = 0;
	update[n].last = 0
}

/* Answers the pending request of a child, if the answer that the node has received covers it. */
inline answer_child(n, child, value) {
	if
#ifdef ANSWER_LATER_REQUESTS
	:: node[n].pending[child] != 0 && child != n ->
#else
	:: node[n].pending[child] != 0 && child != n && node[n].covers[child] == node[n].pending[child] ->
#endif
		answer[child].number = node[n].pending[child];
		answer[child].floor = value;
		node[n].pending[child] = 0
	:: else -> skip
	fi
}

/* Processes the answer in flight, if it is for the pending request, and answers the children. */
inline receive_floor_answer(n) {
	if
#ifdef ACCEPT_OUTDATED_ANSWER
	:: node[n].floor_request != 0 ->
#else
	:: node[n].floor_request != 0 && answer[n].number == node[n].floor_request ->
#endif
		if
		:: IS_PROXY(n) && !node[n].floor_known ->
			node[n].floor_known = true;
			node[n].floor = answer[n].floor;
			use_configuration(n)
		:: else -> skip
		fi;
		answer_child(n, PROXY_A, answer[n].floor);
		answer_child(n, PROXY_B, answer[n].floor);
		cancel_floor_request(n)
	:: else -> skip
	fi;
	answer[n].number = 0;
	answer[n].floor = 0
}

/* Sends a floor request to the parent, for the node and for its children with pending requests. */
inline send_floor_request(n, upstream) {
	node[n].last_floor_request++;
	node[n].floor_request = node[n].last_floor_request;
	node[n].covers[PROXY_A] = node[n].pending[PROXY_A];
	node[n].covers[PROXY_B] = node[n].pending[PROXY_B];
	node[upstream].pending[n] = node[n].floor_request
}

#define MAY_REQUEST_FLOOR(n) (node[n].last_floor_request < FLOOR_REQUESTS && NEEDS_FLOOR(n))
#define NEEDS_FLOOR(n) \
	((IS_PROXY(n) && !node[n].floor_known) || node[n].pending[PROXY_A] != 0 || \
	 node[n].pending[PROXY_B] != 0)

/* The leader: commits entries, and answers each floor request with the position committed at that time. */
active proctype leader() {
end:	do
	:: atomic { node[LEADER].position < ENTRIES -> node[LEADER].position++ }
	:: atomic { node[LEADER].pending[PROXY_A] != 0 && answer[PROXY_A].number == 0 ->
		answer[PROXY_A].number = node[LEADER].pending[PROXY_A];
		answer[PROXY_A].floor = node[LEADER].position;
		node[LEADER].pending[PROXY_A] = 0 }
	:: atomic { node[LEADER].pending[PROXY_B] != 0 && answer[PROXY_B].number == 0 ->
		answer[PROXY_B].number = node[LEADER].pending[PROXY_B];
		answer[PROXY_B].floor = node[LEADER].position;
		node[LEADER].pending[PROXY_B] = 0 }
	od
}

/*
 * The replica gets the floor from the leader in the step in which it answers: a
 * delay in between is covered by the delay of the answer in flight.
 */
#ifdef UNCONFIRMED_FLOOR
#define REPLICA_CAN_ANSWER true
#define REPLICA_FLOOR node[REPLICA].position
#else
#define REPLICA_CAN_ANSWER (replica_fault == HEALTHY)
#define REPLICA_FLOOR node[LEADER].position
#endif

/* The other control replica: follows the leader until a fault occurs, and forwards floor requests. */
active proctype replica() {
end:	do
	:: atomic { replica_fault == HEALTHY && node[REPLICA].position < node[LEADER].position ->
		node[REPLICA].position++ }
	:: atomic { replica_fault == HEALTHY -> replica_fault = ISOLATED }
	:: atomic { !FLOOR_MODEL && replica_fault == HEALTHY -> replica_fault = LAGGING }
	:: atomic { node[REPLICA].pending[PROXY_A] != 0 && REPLICA_CAN_ANSWER &&
		answer[PROXY_A].number == 0 ->
		answer[PROXY_A].number = node[REPLICA].pending[PROXY_A];
		answer[PROXY_A].floor = REPLICA_FLOOR;
		node[REPLICA].pending[PROXY_A] = 0 }
	:: atomic { node[REPLICA].pending[PROXY_B] != 0 && REPLICA_CAN_ANSWER &&
		answer[PROXY_B].number == 0 ->
		answer[PROXY_B].number = node[REPLICA].pending[PROXY_B];
		answer[PROXY_B].floor = REPLICA_FLOOR;
		node[REPLICA].pending[PROXY_B] = 0 }
	od
}

/* Restarts a proxy; messages to and requests of its previous incarnation stay in flight. */
inline restart(n) {
	node[n].incarnation++;
	node[n].position = 0;
	node[n].complete = 0;
	node[n].version = 0;
	node[n].floor_known = FLOOR_KNOWN_AT_START;
	node[n].floor = 0;
	node[n].pending[PROXY_A] = 0;
	node[n].pending[PROXY_B] = 0;
	cancel_floor_request(n);
	node[n].parent = LEADER
}

/* A proxy: pulls updates, requests the floor, leaves a stale parent, restarts. */
proctype proxy(byte n) {
	byte parent_changes = 0;	/* from the leader to the replica, without a fault in the model */

end:	do
	/* the parent sends an update, intact or damaged */
	:: atomic { !update[n].valid && POSITION_OF(node[n].parent) > node[n].position ->
		update[n].valid = true;
		update[n].incarnation = node[n].incarnation;
		update[n].previous = node[n].position;
		update[n].last = POSITION_OF(node[n].parent);
		if
		:: skip
		:: MAY_DAMAGE(n) -> update[n].damaged = true
		fi;
#ifndef DELAYED_UPDATES
		apply_update(n);
		remove_update(n)
#endif
		}
#ifdef DELAYED_UPDATES
	/* an update arrives; one for the previous incarnation may also be lost */
	:: atomic { update[n].valid -> apply_update(n); remove_update(n) }
	:: atomic { update[n].valid && update[n].incarnation != node[n].incarnation -> remove_update(n) }
#endif
	:: atomic { node[n].floor_request == 0 && MAY_REQUEST_FLOOR(n) ->
		send_floor_request(n, node[n].parent) }
	:: atomic { answer[n].number != 0 -> receive_floor_answer(n) }
#ifndef NO_FRESHNESS
	/* the parent passes on no new stamps */
	:: atomic { !PARENT_IS_FRESH(n) -> leave_parent(n) }
#ifndef STAMPS_ONLY
	/* the parent passes on stamps but lacks the entries that they cover */
	:: atomic { PARENT_IS_FRESH(n) && PARENT_IS_BEHIND(n) && node[n].parent != LEADER -> leave_parent(n) }
#endif
	/* the floor request has not been answered */
	:: atomic { MAY_REQUEST_FLOOR(n) && node[n].floor_request != 0 && node[n].parent != LEADER &&
		answer[n].number == 0 ->
		leave_parent(n)
	   }
#endif
	:: atomic { node[n].incarnation <= RESTARTS -> restart(n) }
	/* the proxy changes its parent for a reason outside the model */
	:: atomic { parent_changes < PARENT_CHANGES && node[n].parent == LEADER ->
		parent_changes++;
		node[n].parent = REPLICA;
		cancel_floor_request(n)
	   }
	od
}

#ifdef CONVERGE
/* Always has a step to take, so that a run continues after all other processes have finished. */
active proctype idle() {
	bool toggle;

	do
	:: toggle = !toggle
	od
}
#endif

/* Makes version 1 the one in use at a proxy from the start. */
inline init_in_use(n) {
	node[n].position = 1;
	node[n].version = 1;
	node[n].highest_version = 1;
	node[n].floor_known = true
}

init {
	atomic {
#ifdef FLOOR
		node[LEADER].position = 1;
		node[REPLICA].position = 1;
		init_in_use(PROXY_A);
		init_in_use(PROXY_B);
#else
		node[PROXY_A].floor_known = true;
		node[PROXY_B].floor_known = true;
#endif
		node[PROXY_A].incarnation = 1;
		node[PROXY_B].incarnation = 1;
		node[PROXY_A].parent = LEADER;
		node[PROXY_B].parent = PROXY_A;
		run proxy(PROXY_A);
		run proxy(PROXY_B)
	}
}

#define LAST_VERSION VERSION_AT(ENTRIES)
#ifdef REACH_LAST_VERSION
ltl reach { [] !(node[PROXY_A].incarnation == RESTARTS + 1 && node[PROXY_A].version == LAST_VERSION) }
#endif
#ifdef CONVERGE
ltl converge { <>[] (node[PROXY_A].version == LAST_VERSION && node[PROXY_B].version == LAST_VERSION) }
#endif
