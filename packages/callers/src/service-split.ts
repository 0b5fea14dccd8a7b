/** Picks the service of a call among those that its rule splits calls between. */
import {type Random} from '@ebonylead/base/base.js';
import {type Route} from '@ebonylead/rules/route-table.js';

const totalWeight = 100;

/** Returns a service at random, in the proportions of the rule's weights. */
export function chooseService(route: Route, random: Random): string {
	const {split} = route.rule;
	if (split.length === 1) {
		return split[0]!.service;
	}

	let point = random.next() * totalWeight;
	for (const share of split) {
		point -= share.weight;
		if (point < 0) {
			return share.service;
		}
	}

	return split.at(-1)!.service;
}
