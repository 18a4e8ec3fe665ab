/*
 * Propagation of the configuration of one service to the instances (docs/design.md, sections 6 and
 * 7). docs/model.md maps the steps to the code. Mutant: -DACCEPT_ANY.
 */

#define INSTANCES 3
#define VERSIONS 2
#define RESTARTS 1
#define READS 2              /* reads of the table by each instance between restarts */

byte rowVersion = 0;         /* version of the row in the table, see publish.pml */
bool tableDown = false;
byte have[INSTANCES];        /* version in use; 0: none, not ready */
byte restarts = 0;

/* Versions that peers have sent to an instance; delivery can take any time. */
chan peerChannel[INSTANCES] = [1] of { byte };

/* Publishes take effect one at a time. */
active proctype Publishers()
{
end:
  do
  :: atomic { !tableDown && rowVersion < VERSIONS -> rowVersion++ }
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

/* ConfigRegistry: accepts only versions higher than the one in use. */
inline accept(version)
{
  if
#ifdef ACCEPT_ANY
  :: true ->
#else
  :: version > have[me] ->
#endif
     assert(version >= have[me]);
     have[me] = version
  :: else
  fi
}

active [INSTANCES] proctype Instance()
{
  byte me = _pid - 2;
  byte readVersion = 0;
  byte tableReads = 0;
  byte received = 0;

end:
  do
  /* A read of the table. Its reply is handled later and may then be stale. */
  :: atomic { !tableDown && tableReads < READS && rowVersion > 0 ->
       tableReads++; readVersion = rowVersion }
  :: atomic { readVersion > 0 -> accept(readVersion); readVersion = 0 }
  /* The version is relayed to a peer, unless the queue of the peer is full. */
  :: atomic { have[me] > 0 && nfull(peerChannel[(me + 1) % INSTANCES]) ->
       peerChannel[(me + 1) % INSTANCES]!have[me] }
  :: atomic { have[me] > 0 && nfull(peerChannel[(me + 2) % INSTANCES]) ->
       peerChannel[(me + 2) % INSTANCES]!have[me] }
  :: atomic { peerChannel[me]?received -> accept(received); received = 0 }
  /* A restart, possibly during an outage, clears the state; messages in transit still arrive. */
  :: atomic { restarts < RESTARTS -> restarts++; have[me] = 0; readVersion = 0; tableReads = 0 }
  od
}
