/** Creates the handler of the local upstream's announcements. */
import {AnnouncementHandler, type AnnouncementHandlerDependencies} from './announcement-handler.js';
import {type MeshNodeDependencies} from './mesh-node-settings.js';
import {UpstreamConfirmation} from './upstream-confirmation.js';

/** Creates the handler for a node. */
export function createAnnouncementHandler({upstreamCheck: check, registry}: MeshNodeDependencies, parts: Omit<AnnouncementHandlerDependencies, 'confirmation'>): AnnouncementHandler {
	const {clock, log} = parts;
	return new AnnouncementHandler({
		...parts,
		confirmation: new UpstreamConfirmation({
			check, registry, clock, log,
		}),
	});
}
