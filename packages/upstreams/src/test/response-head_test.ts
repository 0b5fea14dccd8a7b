import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {isMerged} from '../response-head.js';

describe('the head of a response', () => {
	it('is merged if a status line stands in the reason phrase or at the end of a header', t => {
		t.true(isMerged('HTTP/1.1 200 OK', {}));
		t.true(isMerged('Service UnavailHTTP/1.1 200 OK', {}));
		t.true(isMerged('OK', {'keep-alive': 'timeout=5HTTP/1.1 200 OK'}));
		t.true(isMerged('OK', {'set-cookie': ['a=b', 'cHTTP/1.0 503']}));
	});

	it('is not merged otherwise', t => {
		t.false(isMerged('OK', {
			via: 'HTTP/1.1 proxy', upgrade: 'HTTP/2.0', server: 'a/1.1 200', 'x-a': undefined,
		}));
		t.false(isMerged(undefined, {}));
		t.false(isMerged('', {'x-log': '"GET / HTTP/1.1" 200'}));
	});
});
