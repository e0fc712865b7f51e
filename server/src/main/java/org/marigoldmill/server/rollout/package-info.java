/** Generates samples for jobs and answers the draws of trainers. */
package org.marigoldmill.server.rollout;
