// The index of undici also loads fetch, caches, cookies and web sockets, which the program does not use.
import api from '../../node_modules/undici/lib/api/index.js';
import Dispatcher from '../../node_modules/undici/lib/dispatcher/dispatcher.js';

// As the index does.
Object.assign(Dispatcher.prototype, api);

export {default as Agent} from '../../node_modules/undici/lib/dispatcher/agent.js';
export {default as Client} from '../../node_modules/undici/lib/dispatcher/client.js';
export {default as Pool} from '../../node_modules/undici/lib/dispatcher/pool.js';
