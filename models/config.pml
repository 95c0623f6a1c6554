/* Acceptance and distribution of the configuration (internal/version/config, internal/connection/peer).
 *
 * Two operators change the configuration by conditional update and push the accepted version to one node that has a
 * configuration in force; a node that is still starting would store the version and not forward it. Node 0 watches the
 * platform, node 1 is connected to node 0 and node 2 to node 1; versions pass both ways over a connection. One message
 * may arrive late. The platform has an outage that may be permanent, a watch may miss changes, and nodes restart without
 * any state.
 *
 * Checked: no accepted change is lost to a race; the version in force at a node never decreases; a node that restarts
 * during an outage starts with at least the highest version in force at the others; when no step is possible any more,
 * every node has the accepted version.
 */
#define N 3
#define MAXRESTARTS 2
#ifdef ONE_BOOTSTRAP_PEER
#define BOOTSTRAP 1
#else
#define BOOTSTRAP 2
#endif

byte pv = 1;           /* version that the platform stores */
byte writes = 1;       /* writes that took effect */
bool up = true;        /* the platform is reachable */
byte outages;
byte restarts;
byte gaps;
bool behind;           /* node 0 missed changes and must read the current version */
byte position = 1;     /* version up to which the watch of node 0 has delivered changes */

byte held[N];          /* highest version known */
bool ready[N];         /* the version in held is in force */
byte best[N];          /* ghost: highest version in force at the others when the node restarted */
byte answers[N];       /* peers that responded to a starting node, as a bit set */
byte late;             /* version of a message that is still in transit, 0 for none */
bool delayed;          /* a message has been delayed; this happens once */
bool forgotten;        /* ghost: the only node with a version restarted, or no node was ready for the push of a version */

inline take(i, v) {
	if
#ifdef TAKE_LOWER
	:: v != held[i] ->
#else
	:: v > held[i] ->
#endif
		assert(!ready[i] || v > held[i]);
		held[i] = v
	:: else
	fi
}

inline enterForce(i) {
	assert(held[i] >= best[i]);
	ready[i] = true;
	answers[i] = 0;
	best[i] = 0
}

proctype Operator() {
	byte read;
end_wait:
	atomic { up -> read = pv };
	/* An operator who lost the race gets an error and stops. */
	atomic {
		if
#ifdef UNCONDITIONAL_WRITE
		:: up ->
#else
		:: up && read == pv ->
#endif
			pv = read + 1;
			writes++;
			assert(pv == writes)
		:: else -> goto done
		fi
	};
	/* The outage may begin here. */
	atomic {
		if
#ifdef NO_PUSH
		:: true
#else
		:: ready[0] -> take(0, read + 1)
		:: ready[1] -> take(1, read + 1)
		:: ready[2] -> take(2, read + 1)
		:: else -> forgotten = true
#endif
		fi;
		read = 0
	}
done:
	skip
}

proctype Platform() {
end:
	do
	:: atomic { up && outages < 1 -> up = false; outages++ }
	:: atomic { !up -> up = true }
	:: !up -> break      /* the outage is permanent */
	od
}

proctype Node(byte i) {
	byte j;
end:
	do
	/* restart */
	:: atomic { ready[i] && restarts < MAXRESTARTS ->
		restarts++;
		best[i] = 0;
		j = 0;
		do
		:: j < N ->
			if :: j != i && ready[j] && held[j] > best[i] -> best[i] = held[j] :: else fi;
			j++
		:: else -> break
		od;
		if :: best[i] < held[i] -> forgotten = true :: else fi;
		j = 0; ready[i] = false; held[i] = 0; answers[i] = 0;
		/* The new process watches from the current version on, so it must also read that version. */
		if
		:: i == 0 ->
			position = pv;
#ifndef WATCH_WITHOUT_READ
			behind = true
#endif
		:: else
		fi
	}
	/* start with the configuration of the platform */
	:: atomic { !ready[i] && up -> take(i, pv); enterForce(i) }
	/* start with the configurations of peers */
	:: atomic { !ready[i] && !up && !(answers[i] & (1 << ((i + 1) % N))) &&
#ifdef UNREADY_ANSWERS
		true ->
#else
		ready[(i + 1) % N] ->
#endif
		answers[i] = answers[i] | (1 << ((i + 1) % N));
		if :: held[(i + 1) % N] > 0 -> take(i, held[(i + 1) % N]) :: else fi }
	:: atomic { !ready[i] && !up && !(answers[i] & (1 << ((i + 2) % N))) &&
#ifdef UNREADY_ANSWERS
		true ->
#else
		ready[(i + 2) % N] ->
#endif
		answers[i] = answers[i] | (1 << ((i + 2) % N));
		if :: held[(i + 2) % N] > 0 -> take(i, held[(i + 2) % N]) :: else fi }
	:: atomic { !ready[i] && !up && held[i] > 0 &&
		((answers[i] & 1) + ((answers[i] >> 1) & 1) + ((answers[i] >> 2) & 1)) >= BOOTSTRAP -> enterForce(i) }
	/* watch */
	:: atomic { i == 0 && ready[0] && up && !behind && position < pv ->
		position = pv;
		take(0, pv) }
	:: atomic { i == 0 && ready[0] && up && !behind && position < pv && gaps < 1 ->
		gaps++;
#ifdef GAP_WITHOUT_READ
		position = pv
#else
		behind = true
#endif
	}
	:: atomic { i == 0 && ready[0] && up && behind -> take(0, pv); position = pv; behind = false }
	/* send the version to a neighbour */
	:: atomic { ready[i] && i > 0 && held[i - 1] < held[i] -> take(i - 1, held[i]) }
	:: atomic { ready[i] && i < N - 1 && held[i + 1] < held[i] -> take(i + 1, held[i]) }
	/* one message of any node is delayed and arrives at any node */
	:: atomic { ready[i] && !delayed -> delayed = true; late = held[i] }
	:: atomic { late > 0 -> take(i, late); late = 0 }
	od
}

init {
	byte i;
	atomic {
		do
		:: i < N -> held[i] = 1; ready[i] = true; run Node(i); i++
		:: else -> break
		od;
		run Platform();
		run Operator();
		run Operator()
	}
	/* No step is possible any more. In a permanent outage, a restart may have lost a version that only one node knew, and
	 * a node that restarted may wait for peers. */
	timeout;
	i = 0;
	do
	:: i < N ->
		assert(!up || ready[i]);
		assert(!ready[i] || held[i] == pv || (!up && forgotten));
		i++
	:: else -> break
	od
}
