@0x9f3b6b1b3c9f4a00;
# Every message between routers and every record in the log is one envelope.
# An unknown kind from a newer release is kept and reported, never guessed at.

struct Envelope {
  kind @0 :UInt16;
  correlation @1 :UInt64;
  body @2 :Data;
}
