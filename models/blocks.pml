/*
 * Transfer of cache blocks between an engine and a store, with two organisations, two weight versions, eviction during an
 * export, corruption in the store and a change of the weight version at any point. It models internal/version/kvstore
 * (Prepare, RecordUse, importBlock, export) and pkg/prefix.
 *
 * Property: a run reads only blocks that are complete, that were computed for a prompt of its own organisation, and that
 * were computed with the weight version with which the run was admitted.
 *
 * Mutations: NO_CHECKSUM omits the check of the bytes; NO_ORGANISATION and NO_VERSION omit the organisation or the
 * version from the identity of a block and from the check by the reader.
 */

#define ROUNDS 2

#ifdef NO_ORGANISATION
#define ORG(o) 0
#else
#define ORG(o) (o)
#endif
#ifdef NO_VERSION
#define VER(v) 0
#else
#define VER(v) (v)
#endif
#define ID(o, v) (2 * ORG(o) + VER(v))

typedef Slot {
	bit present;
	/* organisation and version according to the header */
	bit labelOrg;
	bit labelVer;
	/* properties of the bytes themselves; whole: neither truncated nor corrupted */
	bit org;
	bit ver;
	bit whole
}

Slot engine[4];
Slot store[4];
bit version = 0;

/* A prompt of organisation o computes its block with the current version. */
inline compute(o) {
	atomic {
		engine[ID(o, version)].present = 1;
		engine[ID(o, version)].org = o;
		engine[ID(o, version)].ver = version;
		engine[ID(o, version)].whole = 1
	}
}

/* The bytes are read from the engine in two steps; an eviction between them truncates the copy. */
inline export(o) {
	atomic { v = version; id = ID(o, v); present = engine[id].present; org = engine[id].org; ver = engine[id].ver }
	if
	:: present ->
		atomic {
			whole = engine[id].present && engine[id].whole && engine[id].org == org && engine[id].ver == ver;
			if
#ifdef NO_CHECKSUM
			:: true ->
#else
			:: whole ->
#endif
				store[id].present = 1;
				store[id].labelOrg = o;
				store[id].labelVer = ver;
				store[id].org = org;
				store[id].ver = ver;
				store[id].whole = whole
			:: else -> skip
			fi
		}
	:: else -> skip
	fi
}

/* Fetches a block from the store and imports it into the engine, which may have changed its version in the meantime. */
inline import(o) {
	atomic {
		v = version;
		id = ID(o, v);
		present = store[id].present && ORG(store[id].labelOrg) == ORG(o) && VER(store[id].labelVer) == VER(v);
#ifndef NO_CHECKSUM
		present = present && store[id].whole;
#endif
		org = store[id].org;
		ver = store[id].ver;
		whole = store[id].whole
	}
	if
	:: present ->
		atomic {
			if
			:: VER(v) == VER(version) && !engine[id].present ->
				engine[id].present = 1;
				engine[id].org = org;
				engine[id].ver = ver;
				engine[id].whole = whole
			:: else -> skip
			fi
		}
	:: else -> skip
	fi
}

/* A run is admitted with the current version and reads the block of its prompt. */
inline serve(o) {
	atomic {
		id = ID(o, version);
		if
		:: engine[id].present ->
			assert(engine[id].whole);
			assert(engine[id].org == o);
			assert(engine[id].ver == version)
		:: else -> skip
		fi
	}
}

proctype agent(bit o) {
	byte rounds = 0;
	byte id;
	bit v, present, org, ver, whole;
	do
	:: rounds < ROUNDS ->
		rounds++;
		if
		:: compute(o)
		:: export(o)
		:: import(o)
		:: serve(o)
		fi
	:: else -> break
	od;
	serve(o)
}

/* Evictions, corruption and loss in the store, and version changes happen at any time. */
proctype environment() {
	byte faults = 0;
	byte i;
	do
	:: faults < 3 ->
		faults++;
		select(i : 0 .. 3);
		if
		:: engine[i].present = 0
		:: store[i].whole = 0
		:: version = 1 - version
		:: store[i].present = 0
		fi
	:: break
	od
}

init {
	atomic {
		run agent(0);
		run agent(0);
		run agent(1);
		run environment()
	}
}
