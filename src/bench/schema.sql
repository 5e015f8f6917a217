CREATE TABLE catalogue (id text PRIMARY KEY, value bigint);
CREATE TABLE proofs (id text PRIMARY KEY, value bigint);
CREATE TABLE orders (id text PRIMARY KEY, account text, amount bigint);
