/*
 * Publishing of the configuration of one service by two operators (docs/design.md, section 6).
 * docs/model.md maps the steps to the code. Mutants: -DNO_COMPARE, -DLOST_IS_REFUSED.
 */

#define PUBLISHERS 2
#define ROUNDS 2       /* publishes of each publisher */
#define VERSIONS 5

mtype = { OPEN, PUBLISHED, CONFLICT, UNAVAILABLE, UNKNOWN };

/* The row of the service. Its revision is its version and winner: every write changes both. */
byte rowVersion = 0;
byte rowWinner = 0;          /* publish id */
byte winners[VERSIONS];      /* publishes that took effect as this version */
bool inEffect[5];            /* by publish id */
byte lastPublish = 0;
bool tableDown = false;

/* One late write. */
bool late = false;
byte lateBase;
byte lateWinner;
byte lateId;

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
  :: atomic { late && !tableDown -> late = false; apply(lateBase, lateWinner, lateId, applied) }
  :: atomic { late -> late = false }
  od
}

/* Outages of the table begin and end at any time. */
active proctype Outages()
{
  byte changes = 0;
end:
  do
  :: atomic { changes < 2 -> changes++; tableDown = !tableDown }
  od
}

/* ConfigPublisher. A stale base is a base read some time before the publish. */
active [PUBLISHERS] proctype Publisher()
{
  byte round = 0;
  byte id = 0;
  byte base;                 /* version on which the operator's change is based */
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
    :: !tableDown -> apply(base, winner, id, applied); lost = true  /* answer lost */
    :: lost = true                                                  /* request lost */
    :: !late -> late = true; lateBase = base; lateWinner = winner; lateId = id; lost = true
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
