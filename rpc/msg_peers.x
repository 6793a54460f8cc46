/*
 * What processes tell each other of the configuration, and the program that
 * entry daemons serve to their peers. Generate with script/rpcgen.
 */

const ZX_PEER_NAME_MAX = 63;
const ZX_DOCUMENT_MAX = 1048576;

/*
 * age_ms: since the store confirmed that nothing newer was accepted; -1: never.
 * trusted_age_ms: the same by the store or by all entry daemons. text: the
 * document, empty when it is no news to the receiver.
 */
struct zx_peer_news {
	string name<ZX_PEER_NAME_MAX>;
	string domain<ZX_PEER_NAME_MAX>;
	string address<ZX_PEER_NAME_MAX>;
	unsigned hyper incarnation;
	unsigned hyper held_version;
	hyper age_ms;
	hyper trusted_age_ms;
	bool unsettled;
	bool leaving;
	opaque text<ZX_DOCUMENT_MAX>;
};

program ZX_PEERS {
	version ZX_PEERS_V1 {
		zx_peer_news ZX_EXCHANGE(zx_peer_news) = 1;
	} = 1;
} = 0x20005a02;
