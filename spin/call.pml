/*
 * One call with up to two attempts, each sent to a different receiver, over a
 * network that loses, duplicates and delays messages.  Receivers may restart.
 *
 * Properties: a call that is not idempotent runs at most once at the target;
 * the origin reports "not run" only if the call has not run, and it does not
 * run afterwards; the origin reports an answer only for a call that has run.
 *
 * Messages in flight are counted by kind and attempt, so that any message may
 * overtake any other.  The receiver's record states are those of
 * libcaraway/record.c; the origin follows libcaraway/call.c.
 *
 * Mutations, each of which removes one rule and must be refuted:
 *   NO_DEDUPE              a duplicate of a started request runs as well
 *   NO_TOMBSTONE           revoking an unknown call leaves no record
 *   REVOKE_STARTED         a started call is reported as never started
 *   REVOKE_ANY_INCARNATION a restarted receiver replies "never started" to
 *                          revocations meant for its previous incarnation
 *   RUN_ANY_INCARNATION    a restarted receiver runs requests meant for its
 *                          previous incarnation
 *   RETRY_UNKNOWN          the origin makes a second attempt when the first
 *                          has not been answered
 *   TIMEOUT_AS_NOT_RUN     a call without an answer by the deadline is
 *                          reported as not run
 *   EVICT_TO_NONE          a record that leaves the window is treated as if
 *                          the call had never been received
 *   BROKEN_CONNECTION_AS_NOT_RUN
 *                          a connection to the target that breaks after the
 *                          request was sent counts as proof of "not run"
 *   KEPT_AS_NEVER_STARTED  the reply that a queued call is kept counts as
 *                          "never started"
 *   REPLAY                 the transport delivers a duplicate after a restart
 *                          of the receiver; ZeroMQ over TCP does not, and the
 *                          refusal reason "incarnation" relies on that
 * IDEMPOTENT is not a mutation: it allows attempts after one whose outcome is
 * unknown, and "at most once" is not checked.
 */
#define ATTEMPTS 2
#define COPIES	 2 /* of one message in flight, at most */

mtype = { NONE, WAITING, STARTED, REFUSED, FORGOTTEN }; /* record at the receiver */
mtype = { UNSENT, SENT, NOT_RUN, UNKNOWN };		/* attempt at the origin */

/* Messages in flight, by attempt. */
byte requests[ATTEMPTS], revokes[ATTEMPTS];
byte not_run_replies[ATTEMPTS], answers[ATTEMPTS], never_started_replies[ATTEMPTS], started_replies[ATTEMPTS];
bool duplicated[ATTEMPTS]; /* the request was delivered and a duplicate is still in flight */

mtype record[ATTEMPTS];
bool restarted[ATTEMPTS]; /* the receiver, since the request was addressed to its incarnation */
byte unrun_at_target[ATTEMPTS]; /* requests sent to the target that it has not run yet */

byte runs; /* of the call, at both targets together */
bool reported_not_run;

/* Sends one message, which may be lost. */
inline send(count)
{
	if
	:: count < COPIES -> count++
	:: true /* lost */
	fi
}

/* The target runs every request that it received, even if the proxy has restarted since. */
active proctype target()
{
	byte a;

end:	do
	:: unrun_at_target[0] > 0 -> a = 0; goto execute
	:: unrun_at_target[1] > 0 -> a = 1; goto execute
	od;
execute:
	atomic {
		unrun_at_target[a]--;
		runs++;
		assert(!reported_not_run);
#ifndef IDEMPOTENT
		assert(runs <= 1);
#endif
		if
		:: !restarted[a] -> send(answers[a])
#ifdef BROKEN_CONNECTION_AS_NOT_RUN
		:: !restarted[a] -> send(not_run_replies[a])
#endif
		:: true /* "cut": the receiver replies "unknown", which may be lost */
		fi
	};
	goto end
}

/* Refuses the request of attempt a. */
inline refuse(a)
{
	record[a] = REFUSED;
	send(not_run_replies[a])
}

/* Processes a request at the receiver of attempt a. */
inline receive_request(a)
{
	if
	:: restarted[a] ->
#ifdef RUN_ANY_INCARNATION
		if
		:: record[a] == NONE -> record[a] = WAITING
		:: else
		fi
#else
		send(not_run_replies[a])
#endif
	:: !restarted[a] && record[a] == REFUSED -> send(not_run_replies[a])
	:: !restarted[a] && record[a] == NONE -> record[a] = WAITING
	:: !restarted[a] && record[a] == NONE -> refuse(a)
#ifdef NO_DEDUPE
	:: !restarted[a] && record[a] == STARTED -> record[a] = WAITING
#endif
	:: !restarted[a] && record[a] != NONE && record[a] != REFUSED /* duplicate: ignored */
	fi
}

/* Processes a revocation at the receiver of attempt a. */
inline receive_revoke(a)
{
	if
#ifdef REVOKE_ANY_INCARNATION
	:: restarted[a] -> send(never_started_replies[a])
#else
	:: restarted[a] -> send(started_replies[a])
#endif
#ifdef REVOKE_STARTED
	:: !restarted[a] && record[a] == STARTED -> send(never_started_replies[a])
#endif
	:: !restarted[a] && (record[a] == STARTED || record[a] == FORGOTTEN) -> send(started_replies[a])
	/* it stays in the queue; the reply changes nothing at the origin, which may ask again */
	:: !restarted[a] && record[a] == WAITING ->
#ifdef KEPT_AS_NEVER_STARTED
		send(never_started_replies[a])
#else
		skip
#endif
	:: !restarted[a] && (record[a] == WAITING || record[a] == REFUSED) ->
		record[a] = REFUSED;
		send(never_started_replies[a])
	:: !restarted[a] && record[a] == NONE ->
#ifndef NO_TOMBSTONE
		record[a] = REFUSED;
#endif
		send(never_started_replies[a])
	fi
}

/* The receiver of attempt a, the proxy beside its target, and the network in front of it. */
proctype receiver(byte a)
{
end:	do
	/* a request arrives; a duplicate of it may still be in flight */
	:: atomic { requests[a] > 0 -> requests[a]--; receive_request(a) }
	:: atomic { requests[a] > 0 && !duplicated[a] -> duplicated[a] = true; receive_request(a) }
	:: atomic { revokes[a] > 0 -> revokes[a]--; receive_revoke(a) }
	/* a slot is free: the request is sent to the target, or the connection to it fails */
	:: atomic { record[a] == WAITING -> record[a] = STARTED; unrun_at_target[a]++ }
	:: atomic { record[a] == WAITING -> refuse(a) }
	/* the record leaves the window of its origin */
#ifdef EVICT_TO_NONE
	:: atomic { record[a] == STARTED || record[a] == REFUSED -> record[a] = NONE }
#else
	:: atomic { record[a] == STARTED || record[a] == REFUSED -> record[a] = FORGOTTEN }
#endif
	/* the proxy restarts: its records are lost, and the duplicates on its connections too */
	:: atomic { !restarted[a] ->
		restarted[a] = true;
		record[a] = NONE;
#ifndef REPLAY
		if
		:: duplicated[a] -> requests[a] = 0
		:: else
		fi
#endif
	   }
	od
}

/* The origin: the proxy beside the caller. */
proctype origin()
{
	mtype attempt_state[ATTEMPTS];
	byte a = 0, i;
	bool all_not_run;

	attempt_state[0] = UNSENT;
	attempt_state[1] = UNSENT;
send_attempt: atomic {
		attempt_state[a] = SENT;
		send(requests[a])
	};
	do
	:: atomic { answers[0] > 0 && attempt_state[0] != UNSENT -> answers[0]--; goto answered }
	:: atomic { answers[1] > 0 && attempt_state[1] != UNSENT -> answers[1]--; goto answered }
	:: atomic { not_run_replies[0] > 0 -> not_run_replies[0]--; attempt_state[0] = NOT_RUN }
	:: atomic { not_run_replies[1] > 0 -> not_run_replies[1]--; attempt_state[1] = NOT_RUN }
	:: atomic { never_started_replies[0] > 0 -> never_started_replies[0]--; attempt_state[0] = NOT_RUN }
	:: atomic { never_started_replies[1] > 0 -> never_started_replies[1]--; attempt_state[1] = NOT_RUN }
	:: atomic { started_replies[0] > 0 -> started_replies[0]-- }
	:: atomic { started_replies[1] > 0 -> started_replies[1]-- }
	/* no reply yet: revoke the attempt */
	:: atomic { attempt_state[a] == SENT && revokes[a] == 0 -> revokes[a]++ }
	/* certainly not run: make another attempt */
	:: a + 1 < ATTEMPTS && attempt_state[a] == NOT_RUN -> a++; goto send_attempt
#if defined(RETRY_UNKNOWN) || defined(IDEMPOTENT)
	:: a + 1 < ATTEMPTS && attempt_state[a] == SENT -> attempt_state[a] = UNKNOWN; a++; goto send_attempt
#endif
	/* the deadline */
	:: break
	od;
	atomic {
		all_not_run = true;
		i = 0;
		do
		:: i < ATTEMPTS ->
			if
			:: attempt_state[i] == SENT || attempt_state[i] == UNKNOWN -> all_not_run = false
			:: else
			fi;
			i++
		:: else -> break
		od;
		if
#ifdef TIMEOUT_AS_NOT_RUN
		:: true -> reported_not_run = true
#endif
		:: all_not_run -> reported_not_run = true
		:: !all_not_run
		fi;
		assert(!reported_not_run || runs == 0)
	};
	goto end;
answered:
	assert(runs > 0);
end:	skip
}

init
{
	atomic {
		record[0] = NONE;
		record[1] = NONE;
		run receiver(0);
		run receiver(1);
		run origin()
	}
}
