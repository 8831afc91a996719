/*
 * One call with up to two attempts, each at a receiver of its own, over a
 * network that loses, doubles and delays messages; receivers restart.
 *
 * Checked: the target runs a call that is not idempotent at most once; "not
 * run" is told only when nothing ran, and nothing runs after it; an answer is
 * told only of what ran.
 *
 * Messages are counted by kind and attempt, so that any may overtake any other.
 * The state of the record is what libcaraway/record.c keeps, the origin is
 * libcaraway/call.c.  Each mutation below removes one rule and must be refuted:
 *   NO_DEDUPE              a second copy of a request runs as well
 *   NO_TOMBSTONE           a revocation of an unknown call leaves no record
 *   REVOKE_STARTED         a started call is said to be never started
 *   REVOKE_ANY_INCARNATION a restarted receiver answers for its predecessor
 *   RUN_ANY_INCARNATION    a restarted receiver runs what was meant for it
 *   RETRY_UNKNOWN          a second attempt after silence
 *   SILENCE_NOT_RUN        no answer by the deadline is told as "not run"
 *   EVICT_TO_NONE          a record that leaves the window counts as never seen
 *   KEPT_CONNECTION        a failure after the request was sent counts as not run
 *   REPLAY                 the transport delivers a copy across a restart of the
 *                          receiver; ZeroMQ over TCP does not, and the refusal
 *                          "incarnation" rests on that
 * IDEMPOTENT is no mutation: attempts may follow an unknown one; at most once
 * is not asked then.
 */
#define ATTEMPTS 2
#define COPIES	 2 /* of one message */

mtype = { NONE, WAITING, STARTED, REFUSED, FORGOTTEN }; /* record */
mtype = { UNSENT, SENT, NOT_RUN, UNKNOWN };		/* attempt at the origin */

byte requests[ATTEMPTS], revokes[ATTEMPTS];
byte not_runs[ATTEMPTS], answers[ATTEMPTS], nevers[ATTEMPTS], starteds[ATTEMPTS];
bool doubled[ATTEMPTS]; /* the request was delivered once and a copy is on its way */

mtype record[ATTEMPTS];
bool restarted[ATTEMPTS];
byte at_target[ATTEMPTS]; /* requests that the target has and has not run */

byte ran;
bool told_not_run;

inline send(count)
{
	if
	:: count < COPIES -> count++
	:: true /* lost */
	fi
}

/* The target runs what it has, whatever has become of the proxy. */
active proctype target()
{
	byte a;

end:	do
	:: at_target[0] > 0 -> a = 0; goto execute
	:: at_target[1] > 0 -> a = 1; goto execute
	od;
execute:
	atomic {
		at_target[a]--;
		ran++;
		assert(!told_not_run);
#ifndef IDEMPOTENT
		assert(ran <= 1);
#endif
		if
		:: !restarted[a] -> send(answers[a])
#ifdef KEPT_CONNECTION
		:: !restarted[a] -> send(not_runs[a])
#endif
		:: true /* cut: the receiver says unknown, which the origin may not hear */
		fi
	};
	goto end
}

inline refuse(a)
{
	record[a] = REFUSED;
	send(not_runs[a])
}

inline take_request(a)
{
	if
	:: restarted[a] ->
#ifdef RUN_ANY_INCARNATION
		if
		:: record[a] == NONE -> record[a] = WAITING
		:: else
		fi
#else
		send(not_runs[a])
#endif
	:: !restarted[a] && record[a] == REFUSED -> send(not_runs[a])
	:: !restarted[a] && record[a] == NONE -> record[a] = WAITING
	:: !restarted[a] && record[a] == NONE -> refuse(a)
#ifdef NO_DEDUPE
	:: !restarted[a] && record[a] == STARTED -> record[a] = WAITING
#endif
	:: !restarted[a] && record[a] != NONE && record[a] != REFUSED /* ignored */
	fi
}

inline take_revoke(a)
{
	if
#ifdef REVOKE_ANY_INCARNATION
	:: restarted[a] -> send(nevers[a])
#else
	:: restarted[a] -> send(starteds[a])
#endif
#ifdef REVOKE_STARTED
	:: !restarted[a] && record[a] == STARTED -> send(nevers[a])
#endif
	:: !restarted[a] && (record[a] == STARTED || record[a] == FORGOTTEN) -> send(starteds[a])
	:: !restarted[a] && (record[a] == WAITING || record[a] == REFUSED) ->
		record[a] = REFUSED;
		send(nevers[a])
	:: !restarted[a] && record[a] == NONE ->
#ifndef NO_TOMBSTONE
		record[a] = REFUSED;
#endif
		send(nevers[a])
	fi
}

/* The network and the proxy beside the target of attempt a. */
proctype receiver(byte a)
{
end:	do
	/* a request arrives; a copy of it may be still on its way */
	:: atomic { requests[a] > 0 -> requests[a]--; take_request(a) }
	:: atomic { requests[a] > 0 && !doubled[a] -> doubled[a] = true; take_request(a) }
	:: atomic { revokes[a] > 0 -> revokes[a]--; take_revoke(a) }
	/* a slot is free: the request goes to the target, or no connection is made */
	:: atomic { record[a] == WAITING -> record[a] = STARTED; at_target[a]++ }
	:: atomic { record[a] == WAITING -> refuse(a) }
	/* the record leaves its window */
#ifdef EVICT_TO_NONE
	:: atomic { record[a] == STARTED || record[a] == REFUSED -> record[a] = NONE }
#else
	:: atomic { record[a] == STARTED || record[a] == REFUSED -> record[a] = FORGOTTEN }
#endif
	/* the proxy restarts: its records are lost, and so are copies on its connections */
	:: atomic { !restarted[a] ->
		restarted[a] = true;
		record[a] = NONE;
#ifndef REPLAY
		if
		:: doubled[a] -> requests[a] = 0
		:: else
		fi
#endif
	   }
	od
}

/* The proxy of the caller. */
proctype origin()
{
	mtype attempt[ATTEMPTS];
	byte a = 0, i;
	bool all;

	attempt[0] = UNSENT;
	attempt[1] = UNSENT;
try:	atomic {
		attempt[a] = SENT;
		send(requests[a])
	};
	do
	:: atomic { answers[0] > 0 && attempt[0] != UNSENT -> answers[0]--; goto answered }
	:: atomic { answers[1] > 0 && attempt[1] != UNSENT -> answers[1]--; goto answered }
	:: atomic { not_runs[0] > 0 -> not_runs[0]--; attempt[0] = NOT_RUN }
	:: atomic { not_runs[1] > 0 -> not_runs[1]--; attempt[1] = NOT_RUN }
	:: atomic { nevers[0] > 0 -> nevers[0]--; attempt[0] = NOT_RUN }
	:: atomic { nevers[1] > 0 -> nevers[1]--; attempt[1] = NOT_RUN }
	:: atomic { starteds[0] > 0 -> starteds[0]-- }
	:: atomic { starteds[1] > 0 -> starteds[1]-- }
	/* silence: withdraw */
	:: atomic { attempt[a] == SENT && revokes[a] == 0 -> revokes[a]++ }
	/* proved not run: another attempt */
	:: a + 1 < ATTEMPTS && attempt[a] == NOT_RUN -> a++; goto try
#if defined(RETRY_UNKNOWN) || defined(IDEMPOTENT)
	:: a + 1 < ATTEMPTS && attempt[a] == SENT -> attempt[a] = UNKNOWN; a++; goto try
#endif
	/* the deadline */
	:: break
	od;
	atomic {
		all = true;
		i = 0;
		do
		:: i < ATTEMPTS ->
			if
			:: attempt[i] == SENT || attempt[i] == UNKNOWN -> all = false
			:: else
			fi;
			i++
		:: else -> break
		od;
		if
#ifdef SILENCE_NOT_RUN
		:: true -> told_not_run = true
#endif
		:: all -> told_not_run = true
		:: !all
		fi;
		assert(!told_not_run || ran == 0)
	};
	goto end;
answered:
	assert(ran > 0);
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
