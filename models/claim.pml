/*
 * The claim log of one shard, for one order, as package claim decides and package order runs it. Step names are those of
 * the Go code: Takeover, Claim, Send, Complete, Abandon.
 *
 * The platform holds one object, the last segment of the shard: a version, the term, the incarnation that owns it, and
 * the state of the order that its records give. A conditional update may take effect or fail; its reply may be lost,
 * with the effect at once, later or never. Attempts of callers arrive at any owner at any time. An owner may pause
 * between any two steps and may restart. Operators may move ownership at any time, so every owner may take the shard.
 *
 * Checked: the order runs at most once; an attempt that was told "not run" never runs afterwards; a completed result is
 * never replaced.
 *
 * Left out: sealing and expiry of segments, several orders in one update, other bodies under the same key.
 */
#define OWNERS 2	/* a restart adds a further incarnation */
#define ATTEMPTS 3
#define TAKEOVERS 4
#define RESTARTS 1
#define NONCES ATTEMPTS	/* claims, numbered from 0 */

#define NONE 0
#define CLAIMED 1
#define ABANDONED 2
#define COMPLETED 3

#define OK 0
#define CONFLICT 1
#define LOST 2

typedef Log {
	byte version;
	byte term;
	byte owner;	/* incarnation */
	byte state;
	byte nonce;	/* of the last record */
	byte by;	/* incarnation that wrote that claim */
}

Log stored;
Log late[OWNERS];	/* writes under way; version is the expected one, 255 for none */
byte attempts = ATTEMPTS;
byte takeovers = TAKEOVERS;
byte restarts = RESTARTS;
byte nonces = 0;
byte incarnations = 0;
byte runs = 0;
bool told[NONCES];	/* told "not run" for the attempt with this claim */

inline copy(to, from) {
	to.version = from.version; to.term = from.term; to.owner = from.owner;
	to.state = from.state; to.nonce = from.nonce; to.by = from.by
}

/* forget clears a log that is not read again, so that states which differ in it only are one. */
inline forget(l) {
	l.term = 0; l.owner = 0; l.state = NONE; l.nonce = 0; l.by = 0
}

/* apply stores w, whose version is the expected one. */
inline apply(w) {
	assert(!(stored.state == COMPLETED && w.state != COMPLETED));
	stored.term = w.term; stored.owner = w.owner; stored.state = w.state;
	stored.nonce = w.nonce; stored.by = w.by;
	stored.version = stored.version + 1;
	/* The version that the other writes under way expect is gone for good. */
	late[0].version = 255; forget(late[0]); late[1].version = 255; forget(late[1])
}

/* put tries the write w. After LOST the effect came, comes later or never comes. After OK the owner knows w. */
inline put() {
	if
#ifdef NO_FENCE
	:: true -> apply(w); result = OK; copy(known, stored)
#else
	:: w.version == stored.version -> apply(w); result = OK; copy(known, stored)
	:: w.version != stored.version -> result = CONFLICT
#endif
	:: w.version == stored.version -> apply(w); result = LOST
	:: late[id].version == 255 && w.version == stored.version -> copy(late[id], w); result = LOST
	:: late[id].version != 255 -> result = LOST
	fi;
	w.version = 0; forget(w)
}

/* settle reads the segment again. It sets standing and, if it differs, what the owner knows. */
#define PENDING 0
#define OWNING 1
#define FENCED 2
inline settle() {
	if
	:: stored.version == known.version -> standing = PENDING
	:: stored.version != known.version && stored.term == known.term && stored.owner == me ->
		standing = OWNING; copy(known, stored)
	:: else -> standing = FENCED; owned = false; copy(known, stored)
	fi
}

proctype Owner(byte id) {
	byte me;
	bool owned = false;
	bool unsent[NONCES];	/* claims of this incarnation that were certainly not sent */
	Log known;
	Log w;
	byte n = 0;
	byte result;
	byte standing;

start:
	atomic { incarnations++; me = incarnations }
idle:
	true;	/* a jump from one atomic block into another would leave no pause there */
endidle:
	do
	:: atomic { !owned && attempts > 0 && takeovers > 0 ->
		takeovers--;
#ifdef NO_LOAD
		known.version = stored.version; known.term = stored.term; known.owner = stored.owner
#else
		copy(known, stored)
#endif
		}
		goto Takeover
	:: atomic { owned && attempts > 0 && (known.state == NONE || known.state == ABANDONED) ->
		attempts--; nonces++; n = nonces - 1 }
		goto Claim
	:: atomic { owned && known.state == CLAIMED && known.by == me && unsent[known.nonce] -> n = known.nonce }
		goto Abandon
#ifdef NO_CERTAINTY
	:: atomic { owned && known.state == CLAIMED && known.by == me -> n = known.nonce }
		goto Abandon
#endif
#ifdef NO_OWN_NONCE
	:: atomic { owned && attempts > 0 && known.state == CLAIMED && known.by != me -> attempts--; n = known.nonce }
		goto Send
#endif
	/* Attempts that find another claim are told "unknown", those that find a result get it: no effect on the state. */
	:: atomic { restarts > 0 ->
		restarts--; owned = false; known.version = 0; forget(known); n = 0;
		unsent[0] = false; unsent[1] = false; unsent[2] = false }
		goto start
	:: atomic { attempts == 0 && !owned -> goto done }
	:: atomic { attempts == 0 && owned && !(known.state == CLAIMED && known.by == me && unsent[known.nonce]) -> goto done }
	od;

Takeover:
	true;
	atomic {
		copy(w, known); w.term = known.term + 1; w.owner = me;
		put();
		if
		:: result == OK -> owned = true; result = OK; goto idle
		:: result == CONFLICT -> known.version = 0; forget(known); result = OK; goto idle
		:: result == LOST -> result = OK
		fi
	}
	true;
	/* Only this incarnation writes itself as the owner with this term. */
	atomic {
		if
		:: stored.term == known.term + 1 && stored.owner == me -> copy(known, stored); owned = true
		:: else -> known.version = 0; forget(known)
		fi;
		goto idle
	}

Claim:
	true;
	atomic {
		copy(w, known); w.state = CLAIMED; w.nonce = n; w.by = me;
		put();
		if
		:: result == OK -> goto Deadline
#ifdef NO_REREAD
		:: result == LOST -> result = OK; goto Deadline
		:: result == CONFLICT -> result = OK; told[n] = true; n = 0; owned = false; known.version = 0; forget(known); goto idle
#else
		:: result != OK -> result = OK
#endif
		fi
	}
	true;
	atomic {
		if
		/* The platform is down for the second read. */
		:: unsent[n] = true; told[n] = true; n = 0; goto idle
		:: true -> settle();	/* without the guard, its else would count for the outer choice */
			if
			:: standing == PENDING -> standing = 0; unsent[n] = true; told[n] = true; n = 0; goto idle
#ifdef NO_NONCE_MATCH
			:: standing == OWNING -> standing = 0; goto Deadline
#else
			:: standing == OWNING && known.state == CLAIMED && known.nonce == n -> standing = 0; goto Deadline
			:: standing == OWNING && !(known.state == CLAIMED && known.nonce == n) ->
				standing = 0; told[n] = true; n = 0; goto idle
#endif
			:: standing == FENCED && known.state == CLAIMED && known.nonce == n ->
				standing = 0; known.version = 0; forget(known); goto Deadline
			:: standing == FENCED && !(known.state == CLAIMED && known.nonce == n) ->
				standing = 0; known.version = 0; forget(known); told[n] = true; n = 0; goto idle
			fi
		fi
	}

Deadline:
	true;
	atomic {
		if
		:: goto Send
		/* The deadline passed, or the service is not connected. */
		:: unsent[n] = true; told[n] = true;
#ifdef NO_DEADLINE
			goto Send
#else
			n = 0; goto idle
#endif
		/* The process ends before the send, and what it knew of this claim is lost. */
		:: n = 0; goto idle
		fi
	}

Send:
	true;
	atomic {
		runs++;
		assert(runs <= 1);
		assert(!told[n]);
		if
		:: goto Complete
		/* The reply of the service is lost: told "unknown". */
		:: n = 0; goto idle
		fi
	}

Complete:
	true;
	atomic {
		if
		:: owned && known.state == CLAIMED && known.nonce == n ->
			copy(w, known); w.state = COMPLETED;
			put();
			if
			:: result == OK -> n = 0; goto idle
			:: result != OK -> result = OK
			fi
		:: else -> n = 0; goto idle
		fi
	}
	true;
	atomic {
		if
		:: true -> settle();	/* without the guard, its else would count for the outer choice */
			if
			:: standing == PENDING -> standing = 0; goto Complete
			:: standing == OWNING -> standing = 0; n = 0; goto idle
			:: standing == FENCED -> standing = 0; n = 0; known.version = 0; forget(known); goto idle
			fi
		/* The process ends before the record is durable. */
		:: n = 0; goto idle
		fi
	}

Abandon:
	true;
	atomic {
		copy(w, known); w.state = ABANDONED;
		put();
		if
		:: result == OK -> n = 0; goto idle
		:: result != OK -> result = OK
		fi
	}
	true;
	atomic {
		settle();
		if
		:: standing == FENCED -> known.version = 0; forget(known)
		:: else
		fi;
		standing = 0; n = 0;
		goto idle
	}

done:
	skip
}

/*
 * Late lets writes whose reply was lost take effect afterwards. One that stays for ever is a write without effect. Its
 * expected version is still in force, because apply removes it otherwise.
 */
proctype Late() {
end:
	do
	:: atomic { late[0].version != 255 -> apply(late[0]) }
	:: atomic { late[1].version != 255 -> apply(late[1]) }
	od
}

init {
	atomic {
		late[0].version = 255; late[1].version = 255;
		run Owner(0); run Owner(1); run Late()
	}
}
