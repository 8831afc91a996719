/*
 * The replicated log, with crashes, lost disks and readmission.
 *
 * Three replicas.  A message in flight may be lost, duplicated, delayed and
 * overtaken: the effect of a vote reply may come at any later time, and
 * replicas may receive the append requests of a leader of some term at any time
 * after it was elected.  A replica whose disk is lost gets a new incarnation,
 * which has no vote until one entry has removed the old incarnation and another
 * entry has added the new one.
 *
 * Properties: at most one leader per term; a leader holds every entry committed
 * in an earlier term; no two different entries are committed at one index.
 *
 * Mutations that must be refuted: KEEP_INCARNATION (a replica with an empty
 * disk keeps its incarnation and its vote), ONE_STEP_REPLACE (a single entry
 * replaces the old incarnation with the new one), FORGET_VOTE (a crash loses
 * the vote).  REACH_READMITTED claims that no leader is elected after every
 * lost disk was readmitted; it must be refuted, or the bounds are too small for
 * the other results to mean anything.
 */
#ifndef TERMS
#define TERMS 3		/* highest term */
#endif
#ifndef ENTRIES
#define ENTRIES 4	/* longest log */
#endif
#ifndef DISK_LOSSES
#define DISK_LOSSES 1	/* most disks lost */
#endif
#ifndef CLIENT_ENTRIES
#define CLIENT_ENTRIES 1	/* most entries from clients; others begin a term or change the membership */
#endif
#define REPLICAS 3

/*
 * An entry encodes its term and its kind.  A kind that changes the membership is
 * REMOVE, ADD or REPLACE plus the slot: it removes the slot's first incarnation,
 * adds the second one, or does both at once.
 */
#define NOOP 0
#define REMOVE 1
#define ADD 4
#define REPLACE 7
#define KINDS 10
#define TERM_OF(e) ((e) / KINDS)
#define KIND_OF(e) ((e) % KINDS)

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef replica_t {
	byte incarnation;	/* 1, or 2 once its disk was lost */
	byte term;
	byte voted_for;		/* slot + 1; 0: no vote in this term */
	byte length;		/* of the log */
	byte log[ENTRIES];
	byte role;
	byte votes;		/* received as a candidate, bit per slot */
	byte commit_length	/* entries that this leader knows to be committed */
};

/* One term, with the messages in flight from and to its leader. */
typedef term_t {
	byte leader;		/* slot + 1; 0: none yet */
	byte length;
	byte log[ENTRIES];	/* of its leader: any prefix may be in flight */
	byte match_length[6]	/* entries acknowledged, by slot and incarnation */
};

replica_t replica[REPLICAS];
term_t terms[TERMS + 1];
byte committed[ENTRIES];	/* entry by index; 0: none */
byte committed_term[ENTRIES];	/* term in which it was first committed */
byte disk_losses;	/* so far */
byte client_entries;	/* so far */

/* Temporary values within one step; not part of the state. */
hidden byte i, j, members, count, last, other, kind;
hidden byte membership[REPLICAS];	/* incarnation that has a vote, by slot; 0: none */
hidden byte ok;			/* the step is allowed */

/* Applies one entry to the membership. */
inline apply_membership(entry)
{
	kind = KIND_OF(entry);
	if
	:: kind >= REMOVE && kind < ADD -> membership[kind - REMOVE] = 0
	:: kind >= ADD && kind < REPLACE -> membership[kind - ADD] = 2
	:: kind >= REPLACE -> membership[kind - REPLACE] = 2
	:: else
	fi
}

/* Computes membership, and members, its number of voters, from a replica's whole log, committed or not. */
inline read_membership(slot)
{
	membership[0] = 1; membership[1] = 1; membership[2] = 1;
	i = 0;
	do
	:: i < replica[slot].length -> apply_membership(replica[slot].log[i]); i++
	:: else -> break
	od;
	members = (membership[0] > 0) + (membership[1] > 0) + (membership[2] > 0)
}

/* Computes membership and members from the committed entries. */
inline read_committed_membership()
{
	membership[0] = 1; membership[1] = 1; membership[2] = 1;
	i = 0;
	do
	:: i < ENTRIES -> apply_membership(committed[i]); i++
	:: else -> break
	od;
	members = (membership[0] > 0) + (membership[1] > 0) + (membership[2] > 0)
}

/* Makes a replica a candidate in the next term, with its own vote. */
inline start_election(slot)
{
	replica[slot].term++;
	replica[slot].voted_for = slot + 1;
	replica[slot].role = CANDIDATE;
	replica[slot].votes = 1 << slot
}

/* Makes a candidate or leader a follower; the acknowledgements sent to it no longer count. */
inline step_down(slot)
{
	if
	:: replica[slot].role == LEADER ->
		j = 0;
		do
		:: j < 6 -> terms[replica[slot].term].match_length[j] = 0; j++
		:: else -> break
		od
	:: else
	fi;
	replica[slot].role = FOLLOWER;
	replica[slot].votes = 0;
	replica[slot].commit_length = 0
}

#define LAST_TERM(slot) \
	(replica[slot].length == 0 -> 0 : TERM_OF(replica[slot].log[replica[slot].length - 1]))

/*
 * Grants a vote if the candidate's membership has the voter's incarnation, the
 * voter has not voted for another in this term, and the candidate's log is at
 * least as up to date.
 */
inline grant_vote(voter, candidate)
{
	read_membership(candidate);
	ok = membership[voter] == replica[voter].incarnation &&
		replica[candidate].role == CANDIDATE && voter != candidate;
	ok = ok && (replica[voter].term < replica[candidate].term ||
		(replica[voter].term == replica[candidate].term &&
		 (replica[voter].voted_for == 0 || replica[voter].voted_for == candidate + 1)));
	ok = ok && (LAST_TERM(candidate) > LAST_TERM(voter) ||
		(LAST_TERM(candidate) == LAST_TERM(voter) &&
		 replica[candidate].length >= replica[voter].length));
	if
	:: ok ->
		if
		:: replica[voter].term < replica[candidate].term -> step_down(voter)
		:: else
		fi;
		replica[voter].term = replica[candidate].term;
		replica[voter].voted_for = candidate + 1;
		replica[candidate].votes = replica[candidate].votes | (1 << voter)
	:: else
	fi
}

/* Copies the leader's log into the messages in flight. */
inline publish_log(slot)
{
	i = 0;
	do
	:: i < replica[slot].length -> terms[replica[slot].term].log[i] = replica[slot].log[i]; i++
	:: else -> break
	od;
	terms[replica[slot].term].length = replica[slot].length
}

/* Appends an entry to the leader's log. */
inline append_entry(slot, entry_kind)
{
	replica[slot].log[replica[slot].length] = replica[slot].term * KINDS + entry_kind;
	replica[slot].length++;
	publish_log(slot)
}

/*
 * Makes a candidate the leader if a quorum of its own membership has voted for
 * it; the leader begins its term with an entry.
 */
inline become_leader(slot)
{
	read_membership(slot);
	count = 0;
	i = 0;
	do
	:: i < REPLICAS -> count = count + (membership[i] > 0 && (replica[slot].votes & (1 << i))); i++
	:: else -> break
	od;
	if
	:: count * 2 > members && replica[slot].length < ENTRIES ->
#ifdef REACH_READMITTED
		assert(membership[0] + membership[1] + membership[2] < REPLICAS + DISK_LOSSES);
#endif
		assert(terms[replica[slot].term].leader == 0);
		terms[replica[slot].term].leader = slot + 1;
		i = 0;
		do
		:: i < ENTRIES ->
			if
			:: committed[i] && committed_term[i] < replica[slot].term ->
				assert(i < replica[slot].length && replica[slot].log[i] == committed[i])
			:: else
			fi;
			i++
		:: else -> break
		od;
		replica[slot].role = LEADER;
		replica[slot].votes = 0;
		replica[slot].commit_length = 0;
		append_entry(slot, NOOP)
	:: else
	fi
}

/* Processes an append request with the first n entries of the leader of term t. */
inline receive_entries(follower, t, n)
{
	ok = terms[t].leader && terms[t].leader != follower + 1 &&
		t >= replica[follower].term && n <= terms[t].length;
	if
	:: ok ->
		if
		:: t > replica[follower].term -> replica[follower].voted_for = 0
		:: else
		fi;
		step_down(follower);
		replica[follower].term = t;
		i = 0;
		do
		:: i < n ->
			if
			:: i < replica[follower].length && replica[follower].log[i] != terms[t].log[i] ->
				j = i;
				do
				:: j < replica[follower].length -> replica[follower].log[j] = 0; j++
				:: else -> break
				od;
				replica[follower].length = i
			:: else
			fi;
			if
			:: i >= replica[follower].length ->
				replica[follower].log[i] = terms[t].log[i];
				replica[follower].length = i + 1
			:: else
			fi;
			i++
		:: else -> break
		od;
		j = follower * 2 + replica[follower].incarnation - 1;
		if
		:: terms[t].match_length[j] < n &&
		   replica[terms[t].leader - 1].role == LEADER && replica[terms[t].leader - 1].term == t ->
			terms[t].match_length[j] = n
		:: else
		fi
	:: else
	fi
}

/*
 * Commits the first n entries if a quorum of the newest membership holds them
 * and the last of them is of the leader's term.
 */
inline commit_up_to(slot, n)
{
	read_membership(slot);
	count = 0;
	i = 0;
	do
	:: i < REPLICAS ->
		if
		:: i == slot -> count = count + (membership[i] == replica[slot].incarnation)
		:: else -> count = count + (membership[i] > 0 &&
			terms[replica[slot].term].match_length[i * 2 + membership[i] - 1] >= n)
		fi;
		i++
	:: else -> break
	od;
	ok = count * 2 > members && TERM_OF(replica[slot].log[n - 1]) == replica[slot].term &&
		replica[slot].commit_length < n;
	if
	:: ok ->
		replica[slot].commit_length = n;
		i = 0;
		do
		:: i < n ->
			assert(committed[i] == 0 || committed[i] == replica[slot].log[i]);
			if
			:: committed[i] == 0 ->
				committed[i] = replica[slot].log[i];
				committed_term[i] = replica[slot].term
			:: else
			fi;
			i++
		:: else -> break
		od
	:: else
	fi
}

/*
 * Takes the next step of readmitting a learner: removes its old incarnation, or
 * adds the new one.  The new incarnation must hold all committed entries, and
 * the previous change of membership must be committed.
 */
inline readmit(slot, learner)
{
	read_membership(slot);
	last = 0;
	i = 0;
	do
	:: i < replica[slot].length ->
		if
		:: KIND_OF(replica[slot].log[i]) != NOOP -> last = i + 1
		:: else
		fi;
		i++
	:: else -> break
	od;
	ok = replica[slot].commit_length > 0 &&
		TERM_OF(replica[slot].log[replica[slot].commit_length - 1]) == replica[slot].term &&
		replica[slot].commit_length >= last;
	ok = ok && learner != slot && membership[learner] != 2 &&
		terms[replica[slot].term].match_length[learner * 2 + 1] >= replica[slot].commit_length &&
		replica[slot].length < ENTRIES;
	if
	:: !ok
#ifdef ONE_STEP_REPLACE
	:: ok -> append_entry(slot, REPLACE + learner)
#else
	:: ok && membership[learner] == 1 -> append_entry(slot, REMOVE + learner)
	:: ok && membership[learner] == 0 -> append_entry(slot, ADD + learner)
#endif
	fi
}

/* Loses the disk of a replica, if the newest committed membership keeps a quorum of intact disks. */
inline lose_disk(slot)
{
	read_committed_membership();
	count = 0;
	i = 0;
	do
	:: i < REPLICAS -> count = count + (i != slot && membership[i] > 0 &&
		membership[i] == replica[i].incarnation); i++
	:: else -> break
	od;
	if
	:: count * 2 > members && replica[slot].incarnation == 1 && disk_losses < DISK_LOSSES ->
		disk_losses++;
#ifndef KEEP_INCARNATION
		replica[slot].incarnation = 2;
#endif
		step_down(slot);
		replica[slot].term = 0;
		replica[slot].voted_for = 0;
		i = 0;
		do
		:: i < ENTRIES -> replica[slot].log[i] = 0; i++
		:: else -> break
		od;
		replica[slot].length = 0
	:: else
	fi
}

/* Restarts a process, which keeps its disk. */
inline crash(slot)
{
#ifdef FORGET_VOTE
	replica[slot].voted_for = 0;
#endif
	step_down(slot)
}

/*
 * All replicas are equal until the first election or lost disk, so that it is
 * enough to let slot 0 start the first election.
 */
#define SYMMETRY_BROKEN (disk_losses || replica[0].term || replica[1].term || replica[2].term)

/* Checks that a replica has a vote by its own log and may start an election. */
inline may_start_election(slot)
{
	read_membership(slot);
	ok = (slot == 0 || SYMMETRY_BROKEN) && membership[slot] == replica[slot].incarnation &&
		replica[slot].term < TERMS && replica[slot].role != LEADER
}

/* All replicas and the network: takes one step of one replica at a time. */
active proctype cluster()
{
	byte slot, peer, n, t;

	d_step {
		replica[0].incarnation = 1; replica[1].incarnation = 1; replica[2].incarnation = 1
	}
	do
	:: atomic {
		select(slot : 0 .. 2);
		if
		:: d_step { may_start_election(slot); if :: ok -> start_election(slot) :: else fi; skip }
		:: replica[slot].role == CANDIDATE -> d_step { become_leader(slot); skip }
		:: replica[slot].role == LEADER && replica[slot].length < ENTRIES &&
		   client_entries < CLIENT_ENTRIES ->
			d_step { client_entries++; append_entry(slot, NOOP); skip }
		:: replica[slot].role == LEADER ->
			select(n : 1 .. ENTRIES);
			if
			:: n <= replica[slot].length -> d_step { commit_up_to(slot, n); skip }
			:: else
			fi
		:: d_step { crash(slot); skip }
		:: disk_losses < DISK_LOSSES && SYMMETRY_BROKEN -> d_step { lose_disk(slot); skip }
		:: select(peer : 0 .. 2);
			if
			:: replica[slot].role == LEADER -> d_step { readmit(slot, peer); skip }
			:: replica[peer].role == CANDIDATE -> d_step { grant_vote(slot, peer); skip }
			:: else
			fi
		:: select(t : 1 .. TERMS);
			if
			:: terms[t].leader ->
				select(n : 1 .. ENTRIES);
				d_step { receive_entries(slot, t, n); skip }
			:: else
			fi
		fi;
		slot = 0; peer = 0; n = 0; t = 0
	}
	od
}
