/*
 * Status of the configuration that processes exchange, and the RPC program that
 * entry daemons serve to their peers. script/rpcgen generates the C code.
 */

const ZX_PEER_NAME_MAX = 63;
const ZX_DOCUMENT_MAX = 1048576;

struct zx_peer_news {
	/* Host name of the sender. */
	string name<ZX_PEER_NAME_MAX>;
	/* Failure domain of the sender. */
	string domain<ZX_PEER_NAME_MAX>;
	/* Address of an entry daemon; empty for a scheduler. */
	string address<ZX_PEER_NAME_MAX>;
	/* Identifies one run of the sender's process. */
	unsigned hyper incarnation;
	/* Configuration version that the sender has; 0: none. */
	unsigned hyper held_version;
	/*
	 * Milliseconds since the store confirmed that no newer version had been
	 * accepted; -1: never confirmed.
	 */
	hyper age_ms;
	/* As age_ms, confirmed by the store or by all entry daemons. */
	hyper trusted_age_ms;
	/* The sender proposed a change and does not know its outcome. */
	bool unsettled;
	/* The sender accepts no change any more. */
	bool leaving;
	/* The document; empty if the receiver has this version already. */
	opaque text<ZX_DOCUMENT_MAX>;
};

program ZX_PEERS {
	version ZX_PEERS_V1 {
		zx_peer_news ZX_EXCHANGE(zx_peer_news) = 1;
	} = 1;
} = 0x20005a02;
