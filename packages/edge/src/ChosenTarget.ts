import type { TargetView } from '@wisteriapath/fleet';
import type TargetReservation from './TargetReservation';

/** A target chosen for a request, with the reservation held on it. */
interface ChosenTarget {
  readonly view: TargetView;
  readonly reservation: TargetReservation;
}

export default ChosenTarget;
