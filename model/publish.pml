/*
 * Publishing of the configuration of one service by two operators (docs/design.md, section 6).
 * docs/model.md maps the steps to the code. Mutants: -DNO_COMPARE, -DLOST_IS_REFUSED.
 */

#define PUBLISHERS 2
#define ROUNDS 2       /* publishes of each publisher */
#define VERSIONS 5

mtype = { OPEN, PUBLISHED, CONFLICT, UNAVAILABLE, UNKNOWN };

/* The row of the service. Version and winner act as its revision, as every write changes both. */
byte rowVersion = 0;
byte rowWinner = 0;          /* id of the publish that wrote the row */
byte winners[VERSIONS];      /* number of publishes that took effect, by version */
bool inEffect[5];            /* by publish id */
byte lastPublish = 0;
bool tableDown = false;

/* A delayed write; at most one at a time. */
bool writeDelayed = false;
byte delayedBase;
byte delayedWinner;
byte delayedId;

inline apply(base, winner, id, applied)
{
  if
#ifdef NO_COMPARE
  :: true ->
     rowVersion = base + 1;
#else
  :: rowVersion == base && rowWinner == winner ->
     rowVersion++;
#endif
     rowWinner = id;
     winners[rowVersion]++;
     assert(winners[rowVersion] <= 1);
     inEffect[id] = true;
     applied = true
  :: else -> applied = false
  fi
}

active proctype Network()
{
  bool applied;
end:
  do
  :: atomic { writeDelayed && !tableDown ->
       writeDelayed = false; apply(delayedBase, delayedWinner, delayedId, applied) }
  :: atomic { writeDelayed -> writeDelayed = false }
  od
}

/* Outages of the table start and end at any time. */
active proctype Outages()
{
  byte changes = 0;
end:
  do
  :: atomic { changes < 2 -> changes++; tableDown = !tableDown }
  od
}

/* ConfigPublisher. The base may be stale, as it is read some time before the publish. */
active [PUBLISHERS] proctype Publisher()
{
  byte round = 0;
  byte id = 0;
  byte base;                 /* version that the operator changed */
  byte baseWinner;
  byte version;
  byte winner;
  byte tries;
  bool lost;
  bool applied;
  mtype told;

next:
  atomic {
    version = 0; winner = 0; tries = 0; lost = false; applied = false; told = OPEN;
    if
    :: round < ROUNDS -> round++
    :: else -> goto done
    fi;
    lastPublish++; id = lastPublish
  };
  atomic { base = rowVersion; baseWinner = rowWinner };

read:
  atomic {
    if
    :: tableDown || tries >= 3 -> told = (lost -> UNKNOWN : UNAVAILABLE); goto tell
    :: !tableDown && tries < 3 -> tries++; version = rowVersion; winner = rowWinner
    fi
  };
  atomic {
    if
    :: winner == id -> told = PUBLISHED; goto tell
    :: winner != id && version != base ->
       told = ((lost && version > base + 1) -> UNKNOWN : CONFLICT);
#ifndef NO_COMPARE
       goto tell
#else
       told = OPEN
#endif
    :: winner != id && version == base
    fi
  };

write:
  atomic {
    if
    :: tableDown -> told = (lost -> UNKNOWN : UNAVAILABLE); goto tell
    :: !tableDown -> apply(base, winner, id, applied);
       if
       :: applied -> told = PUBLISHED; goto tell
       :: else -> goto read
       fi
    :: !tableDown -> apply(base, winner, id, applied); lost = true  /* reply lost */
    :: lost = true                                                  /* request lost */
    :: !writeDelayed -> writeDelayed = true; delayedBase = base; delayedWinner = winner; delayedId = id; lost = true
    fi
  };
#ifdef LOST_IS_REFUSED
  lost = false;
#endif
  goto read;

tell:
  atomic {
    assert(told != PUBLISHED || inEffect[id]);
    assert(told != CONFLICT || !inEffect[id]);
    assert(told != UNAVAILABLE || !inEffect[id])
  };
  goto next;
done:
  skip
}
